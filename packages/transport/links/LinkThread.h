/** The thread that carries all traffic between nodes and to the upstream. */
#pragma once

#include "control/distribution/PeerTransport.h"
#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/links/Mailbox.h"
#include "transport/links/PeerEventSink.h"
#include "transport/links/PeerRequestHandler.h"
#include "transport/serving/UpstreamGate.h"
#include "transport/serving/UpstreamStatus.h"

#include <absl/status/status.h>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace boragetrack::transport::links {

/** Runs the event loop with the peer listener, the links and the serving side of a node. */
class LinkThread : public control::distribution::PeerTransport
{
public:
    /** What a link thread is made of; all references outlive it. */
    struct Parts
    {
        core::identity::NodeId self;
        core::identity::NodeId process;
        core::identity::NetworkAddress listen;
        PeerRequestHandler &requests;
        PeerEventSink &events;
        const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
        std::unique_ptr<traffic::admission::AdmissionPolicy> admission;
        serving::UpstreamGate::EvidenceSink evidence;
        core::counters::CounterRegistry &counters;
    };

    explicit LinkThread(Parts parts);
    ~LinkThread() noexcept override;

    /** Starts the thread and its listener. @returns Unavailable when the address is in use */
    absl::Status start();

    /** Ends the thread; calls under way are answered as unknown. */
    void stop();

    //==============================================================================
    /** Returns the answer to a call that goes to an endpoint; blocks the calling thread. */
    traffic::calls::CallAnswer call(const core::identity::NodeId &node,
                                    const core::identity::NetworkAddress &address,
                                    const traffic::calls::CallRequest &request);

    /** Passes on what is known of the upstream beside this node. */
    void setUpstream(const std::optional<serving::UpstreamStatus> &status);

    /** Refuses new calls for the upstream and waits until those taken are answered.
        @returns whether all were answered within the time */
    bool drain(std::chrono::milliseconds timeout);

    //==============================================================================
    void sendExchange(const control::distribution::PeerContact &peer,
                      const control::distribution::Exchange &exchange) override;
    void pushIntent(const control::distribution::PeerContact &peer,
                    const control::distribution::IntentTransfer &transfer) override;
    void fetchIntent(const control::distribution::PeerContact &peer,
                     core::identity::Revision have) override;
    void fetchMembers(const control::distribution::PeerContact &peer,
                      const control::membership::MemberTable::BucketHashes &hashes) override;

private:
    class Loop;

    void run(std::promise<absl::Status> started);

    Parts parts_;
    Mailbox mailbox_;
    // Set while the loop runs; used on the link thread only.
    Loop *loop_ = nullptr;
    std::thread thread_;
};

} // namespace boragetrack::transport::links
