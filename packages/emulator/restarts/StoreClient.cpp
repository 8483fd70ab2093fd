/** A call reaches the store after one delay and its response returns after another one. */
#include "emulator/restarts/StoreClient.h"

namespace boragetrack::emulator::restarts {

using control::records::Lease;
using control::records::RecordChanges;
using control::records::RecordPage;
using control::records::RecordWrite;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds delay{2};
} // namespace

template <typename Response>
StoreClient::Responder<Response> StoreClient::makeResponder(const Connection &connection,
                                                            milliseconds timeout,
                                                            Callback<Response> callback)
{
    const auto isOpen = std::make_shared<bool>(true);
    Responder<Response> responder = [isOpen, connection, callback = std::move(callback),
                                     self = std::weak_ptr(self_)](auto response) {
        const auto client = self.lock();
        if (!client || !std::exchange(*isOpen, false))
            return;
        if (!absl::IsUnknown(response.status()))
            (*client)->connections_.release(connection, (*client)->clock_.now());
        (*client)->beforeResponse_();
        callback(std::move(response));
    };
    clock_.schedule(timeout, [responder]() { responder(absl::UnknownError("no response")); });
    return responder;
}

template <typename Response>
void StoreClient::call(milliseconds timeout, Callback<Response> callback,
                       std::function<absl::StatusOr<Response>()> execute)
{
    const Connection connection = connections_.acquire(clock_.now());
    const auto responder = makeResponder(connection, timeout, std::move(callback));
    clock_.schedule(delay, [this, alive = std::weak_ptr(self_), connection, responder,
                            execute = std::move(execute)]() {
        if (alive.expired() || connection->isSilent)
            return;
        ++callCount_;
        const StoreAccess access = store_.accessOf(node_);
        if (access == StoreAccess::Busy)
            respond<Response>(connection, responder, absl::ResourceExhaustedError("busy"));
        else if (access == StoreAccess::Rejected || access == StoreAccess::Refused)
            respond<Response>(connection, responder, absl::UnavailableError("rejected"));
        else if (access != StoreAccess::Silent)
            respond<Response>(connection, responder, execute());
    });
}

template <typename Response>
void StoreClient::respond(const Connection &connection, const Responder<Response> &responder,
                          const absl::StatusOr<Response> &response, milliseconds lateness)
{
    const StoreAccess access = store_.accessOf(node_);
    const bool isLost
            = access == StoreAccess::Silent || (access == StoreAccess::Lossy && random_() % 2 == 0);
    if (!isLost)
        clock_.schedule(delay + lateness, [connection, responder, response]() {
            if (!connection->isSilent)
                responder(response);
        });
}

void StoreClient::list(const std::string &prefix, const std::string & /*after*/,
                       milliseconds timeout, Callback<RecordPage> callback)
{
    call<RecordPage>(timeout, std::move(callback),
                     [this, prefix]() { return store_.list(prefix); });
}

void StoreClient::watch(const std::string &prefix, Revision after, milliseconds wait,
                        milliseconds timeout, Callback<RecordChanges> callback)
{
    const Connection connection = connections_.acquire(clock_.now());
    const auto responder = makeResponder(connection, timeout, std::move(callback));
    clock_.schedule(delay, [this, alive = std::weak_ptr(self_), connection, responder, prefix,
                            after, wait]() {
        if (alive.expired() || connection->isSilent)
            return;
        ++callCount_;
        const StoreAccess access = store_.accessOf(node_);
        if (access == StoreAccess::Busy)
            respond<RecordChanges>(connection, responder, absl::ResourceExhaustedError("busy"));
        else if (access == StoreAccess::Rejected || access == StoreAccess::Refused)
            respond<RecordChanges>(connection, responder, absl::UnavailableError("rejected"));
        else if (access != StoreAccess::Silent)
            waitForChanges(prefix, after, clock_.now() + wait, connection, responder);
    });
}

void StoreClient::waitForChanges(const std::string &prefix, Revision after,
                                 core::timing::MonotonicTime until, const Connection &connection,
                                 const Responder<RecordChanges> &responder)
{
    const auto hasEnded = std::make_shared<bool>(false);
    const auto offer = [this, alive = std::weak_ptr(self_), hasEnded, prefix, after, connection,
                        responder](bool hasWaited, milliseconds lateness) {
        if (alive.expired() || *hasEnded)
            return true;
        RecordChanges changes = store_.changesSince(prefix, after);
        if (changes.changes.empty())
            return false;
        *hasEnded = true;
        if (hasWaited && store_.accessOf(node_) == StoreAccess::Early)
            changes.changes.pop_back();
        if (store_.accessOf(node_) != StoreAccess::Rejected)
            respond<RecordChanges>(connection, responder, changes, lateness);
        return true;
    };
    if (offer(false, milliseconds(0)))
        return;
    const std::uint64_t ends = store_.watchEndsOf(node_);
    store_.addWatch([this, alive = std::weak_ptr(self_), offer, hasEnded, connection, responder,
                     ends]() {
        if (alive.expired() || *hasEnded)
            return true;
        if (store_.watchEndsOf(node_) == ends)
            return offer(true, store_.watchDelayOf(node_));
        *hasEnded = true;
        clock_.schedule(delay,
                        [responder]() { responder(absl::UnavailableError("connection reset")); });
        return true;
    });
    clock_.schedule(until - clock_.now(), [this, alive = std::weak_ptr(self_), hasEnded, prefix,
                                           after, connection, responder]() {
        if (alive.expired() || std::exchange(*hasEnded, true)
            || store_.accessOf(node_) == StoreAccess::Rejected)
            return;
        respond<RecordChanges>(connection, responder, store_.changesSince(prefix, after));
    });
}

void StoreClient::probe(control::records::ReadConsistency /*consistency*/, milliseconds timeout,
                        Callback<Revision> callback)
{
    call<Revision>(timeout, std::move(callback), [this]() { return store_.revision(); });
}

void StoreClient::commit(const std::vector<RecordWrite> &writes, milliseconds timeout,
                         Callback<Revision> callback)
{
    call<Revision>(timeout, std::move(callback),
                   [this, writes]() { return store_.commit(writes); });
}

void StoreClient::grantLease(milliseconds timeToLive, milliseconds timeout,
                             Callback<Lease> callback)
{
    call<Lease>(timeout, std::move(callback),
                [this, timeToLive]() { return store_.grantLease(timeToLive); });
}

void StoreClient::renewLease(const Lease &lease, milliseconds timeout, Callback<Lease> callback)
{
    call<Lease>(timeout, std::move(callback), [lease]() { return lease; });
}

} // namespace boragetrack::emulator::restarts
