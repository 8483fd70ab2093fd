/** A call reaches the store after a delay. It ends with its response, or with Unknown after its
    timeout. */
#include "UsageStoreClient.h"

#include <gtest/gtest.h>

namespace boragetrack::tests {

using namespace control::records;
using core::identity::Revision;
using std::chrono::milliseconds;

template <typename Response>
void UsageStoreClient::call(milliseconds timeout, Callback<Response> callback,
                            std::function<absl::StatusOr<Response>()> execute, bool losesResponse,
                            milliseconds extraDelay)
{
    const auto isOpen = std::make_shared<bool>(true);
    const auto respond
            = [isOpen, callback = std::move(callback)](const absl::StatusOr<Response> &response) {
                  if (std::exchange(*isOpen, false))
                      callback(response);
              };
    process_.schedule(timeout, [respond]() { respond(absl::UnknownError("no response")); });
    if (faults_.isStoreOut || isCut_) {
        if (world_.happens(0.5))
            process_.schedule(milliseconds(20),
                              [respond]() { respond(absl::UnavailableError("out")); });
        return;
    }
    if (world_.happens(faults_.refusedCall)) {
        process_.schedule(milliseconds(5),
                          [respond]() { respond(absl::ResourceExhaustedError("busy")); });
        return;
    }
    if (world_.happens(faults_.lostCall))
        return;
    const bool isLate = world_.happens(faults_.lateCall);
    const milliseconds delay = isLate ? world_.between(milliseconds(800), milliseconds(7000))
                                      : world_.between(milliseconds(2), milliseconds(40));
    losesResponse = losesResponse || world_.happens(faults_.lostResponse);
    // The call is executed even if the process ends meanwhile.
    const auto reply = process_.wrapResponse<absl::StatusOr<Response>>(respond);
    world_.schedule(delay + extraDelay, [&world = world_, &model = model_, reply,
                                         execute = std::move(execute), losesResponse]() {
        model.setTime(world.now());
        const absl::StatusOr<Response> response = execute();
        if (!losesResponse)
            world.schedule(milliseconds(5), [reply, response]() { reply(response); });
    });
}

void UsageStoreClient::list(const std::string &prefix, const std::string & /*after*/,
                            milliseconds timeout, Callback<RecordPage> callback)
{
    call<RecordPage>(timeout, std::move(callback), [&model = model_, prefix]() {
        ++model.lists;
        return model.list(prefix);
    });
}

void UsageStoreClient::watch(const std::string & /*prefix*/, Revision /*after*/,
                             milliseconds /*wait*/, milliseconds /*timeout*/,
                             Callback<RecordChanges> /*callback*/)
{
    ADD_FAILURE() << "usage reports must not watch the store";
}

void UsageStoreClient::probe(control::records::ReadConsistency /*consistency*/,
                             milliseconds /*timeout*/, Callback<Revision> /*callback*/)
{
    ADD_FAILURE() << "usage reports must not probe the store";
}

void UsageStoreClient::commit(const std::vector<RecordWrite> &writes, milliseconds timeout,
                              Callback<Revision> callback)
{
    call<Revision>(
            timeout, std::move(callback),
            [&model = model_, writes]() { return model.commit(writes); },
            std::exchange(losesNextCommitResponse, false),
            std::exchange(nextCommitDelay, milliseconds(0)));
}

void UsageStoreClient::grantLease(milliseconds timeToLive, milliseconds timeout,
                                  Callback<Lease> callback)
{
    call<Lease>(timeout, std::move(callback), [&model = model_, timeToLive]() {
        return absl::StatusOr<Lease>(model.grant(timeToLive));
    });
}

void UsageStoreClient::renewLease(const Lease &lease, milliseconds timeout,
                                  Callback<Lease> callback)
{
    call<Lease>(timeout, std::move(callback),
                [&model = model_, id = lease.id]() { return model.renew(id); });
}

} // namespace boragetrack::tests
