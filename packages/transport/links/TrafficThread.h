/** The thread for all traffic: from callers, between nodes and to the upstream. */
#pragma once

#include "control/distribution/PeerTransport.h"
#include "control/usage/UsageTransport.h"
#include "transport/links/TaskQueue.h"
#include "transport/links/TrafficDependencies.h"
#include "transport/serving/UpstreamStatus.h"

#include <absl/status/status.h>
#include <future>
#include <optional>
#include <thread>

namespace boragetrack::transport::links {

class TrafficLoop;

/** Runs an event loop with the listeners for callers and peers, the links, the inbound proxy and
    further components. Operations are posted to the loop from other threads. */
class TrafficThread : public control::distribution::PeerTransport,
                      public control::usage::UsageTransport
{
public:
    using Dependencies = TrafficDependencies;

    explicit TrafficThread(Dependencies dependencies);
    ~TrafficThread() noexcept override;

    /** Starts the thread, its listeners and the components. @returns Unavailable if an address
        is in use, or the failure of a component */
    absl::Status start();

    /** Stops the thread and cancels the calls in progress: their callers' connections close without
        a response, and peers take the outcome as unknown. */
    void stop();

    //==============================================================================
    /** Updates the status of the node's upstream. @param status empty if there is no upstream */
    void setUpstream(const std::optional<serving::UpstreamStatus> &status);

    /** Begins to close callers' connections after their next response.
        @param gracePeriod time until new calls are refused as not run */
    void beginCallerDrain(std::chrono::milliseconds gracePeriod);

    /** Waits until new calls are refused and no caller waits for a response; then stops accepting
        connections and waits for requests on those that were accepted last.
        @returns whether all callers received their responses within the timeout */
    bool awaitCallerDrain(std::chrono::milliseconds timeout);

    /** Refuses new calls for the upstream and waits until those in progress have ended.
        @returns whether all ended within the timeout */
    bool drain(std::chrono::milliseconds timeout);

    /** Stops accepting links and asks the peers to close theirs; calls that arrive meanwhile get
        their responses. The node's own links to them stay in use.
        @returns whether all peers closed their links within the timeout */
    bool closeLinks(std::chrono::milliseconds timeout);

    /** Runs a task on the event loop. @returns false once the thread is stopping */
    bool post(TaskQueue::Task task) { return taskQueue_.post(std::move(task)); }

    //==============================================================================
    void sendExchange(const control::distribution::PeerContact &peer,
                      const control::distribution::Exchange &exchange) override;
    void pushIntent(const control::distribution::PeerContact &peer,
                    const control::distribution::IntentTransfer &transfer) override;
    void fetchIntent(const control::distribution::PeerContact &peer,
                     core::identity::Revision have) override;
    void fetchMembers(const control::distribution::PeerContact &peer,
                      const control::membership::MemberTable::BucketHashes &hashes) override;
    void sendUsage(const core::identity::NetworkAddress &peer,
                   const control::usage::UsageSnapshot &snapshot,
                   control::usage::UsageTransport::Callback callback) override;

private:
    void run(std::promise<absl::Status> started);
    void logUnreachable(const control::distribution::PeerContact &peer,
                        const kj::Exception &exception);
    void logFailedFetch(const char *what, const control::distribution::PeerContact &peer,
                        const kj::Exception &exception);

    Dependencies dependencies_;
    TaskQueue taskQueue_;
    // Set while the event loop runs; used on the traffic thread only.
    TrafficLoop *loop_ = nullptr;
    std::thread thread_;
};

} // namespace boragetrack::transport::links
