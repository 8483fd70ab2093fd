/** A node's access to the simulated store. */
#pragma once

#include "emulator/restarts/SimulatedStore.h"
#include "emulator/restarts/StoreConnections.h"

#include <memory>
#include <random>

namespace boragetrack::emulator::restarts {

/** Delays the calls of one process, and fails them as the node's access to the store demands. Calls
    on silent connections get no response. Responses end with this object. */
class StoreClient : public control::records::RecordStore
{
public:
    /** Runs before each response. */
    using ResponseObserver = std::function<void()>;

    /** @param store and @param clock must outlive this object
        @param node the index of the node */
    StoreClient(SimulatedStore &store, clock::EventClock &clock, std::size_t node,
                std::uint64_t seed, ResponseObserver beforeResponse)
        : store_(store)
        , clock_(clock)
        , node_(node)
        , random_(seed)
        , beforeResponse_(std::move(beforeResponse))
    {}

    void list(const std::string &prefix, const std::string &after,
              std::chrono::milliseconds timeout,
              Callback<control::records::RecordPage> callback) override;
    void watch(const std::string &prefix, core::identity::Revision after,
               std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
               Callback<control::records::RecordChanges> callback) override;
    void probe(control::records::ReadConsistency consistency, std::chrono::milliseconds timeout,
               Callback<core::identity::Revision> callback) override;
    void commit(const std::vector<control::records::RecordWrite> &writes,
                std::chrono::milliseconds timeout,
                Callback<core::identity::Revision> callback) override;
    void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds timeout,
                    Callback<control::records::Lease> callback) override;
    void renewLease(const control::records::Lease &lease, std::chrono::milliseconds timeout,
                    Callback<control::records::Lease> callback) override;

    /** Returns the number of calls that reached the store. */
    int callCount() const { return callCount_; }

    /** Makes the connections silent that are open now; later calls may use new ones. */
    void silenceConnections() { connections_.silence(); }

private:
    using Connection = std::shared_ptr<StoreConnection>;

    // Takes the response of a call; the first one counts.
    template <typename Response>
    using Responder = std::function<void(absl::StatusOr<Response>)>;

    template <typename Response>
    Responder<Response> makeResponder(const Connection &connection,
                                      std::chrono::milliseconds timeout,
                                      Callback<Response> callback);
    template <typename Response>
    void call(std::chrono::milliseconds timeout, Callback<Response> callback,
              std::function<absl::StatusOr<Response>()> execute);
    template <typename Response>
    void respond(const Connection &connection, const Responder<Response> &responder,
                 const absl::StatusOr<Response> &response,
                 std::chrono::milliseconds lateness = std::chrono::milliseconds(0));
    void waitForChanges(const std::string &prefix, core::identity::Revision after,
                        core::timing::MonotonicTime until, const Connection &connection,
                        const Responder<control::records::RecordChanges> &responder);

    SimulatedStore &store_;
    clock::EventClock &clock_;
    const std::size_t node_;
    std::mt19937_64 random_;
    ResponseObserver beforeResponse_;
    int callCount_ = 0;
    StoreConnections connections_;
    std::shared_ptr<StoreClient *> self_ = std::make_shared<StoreClient *>(this);
};

} // namespace boragetrack::emulator::restarts
