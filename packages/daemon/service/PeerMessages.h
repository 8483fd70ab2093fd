/** The control messages of peers. */
#pragma once

#include "daemon/service/ControlService.h"
#include "transport/links/PeerEventSink.h"
#include "transport/links/PeerRequestHandler.h"

namespace boragetrack::daemon::service {

/** Passes the requests and responses of peers from the traffic thread to the control thread. */
class PeerMessages : public transport::links::PeerRequestHandler,
                     public transport::links::PeerEventSink
{
public:
    /** @param control outlives this object */
    explicit PeerMessages(ControlService &control)
        : control_(control)
    {}

    void handleExchange(control::distribution::Exchange request,
                        Callback<control::distribution::Exchange> callback) override;
    void handlePush(core::identity::NodeId sender, control::distribution::IntentTransfer transfer,
                    Callback<core::identity::Revision> callback) override;
    void handleFetchIntent(core::identity::Revision have,
                           Callback<control::distribution::IntentTransfer> callback) override;
    void
    handleFetchMembers(control::membership::MemberTable::BucketHashes hashes,
                       Callback<std::vector<control::membership::MemberRecord>> callback) override;
    void handleUsage(control::usage::UsageSnapshot snapshot,
                     Callback<control::usage::UsageWindow> callback) override;

    void exchangeResponseReceived(control::distribution::PeerContact peer,
                                  control::distribution::Exchange response) override;
    void exchangeFailed(control::distribution::PeerContact peer) override;
    void peerDisconnected(core::identity::NetworkAddress peer) override;
    void intentFetched(control::distribution::PeerContact peer,
                       control::distribution::IntentTransfer transfer) override;
    void pushResponseReceived(core::identity::Revision peerRevision) override;
    void laterIntentSeen(control::distribution::PeerContact peer,
                         core::identity::Revision revision) override;
    void membersFetched(std::vector<control::membership::MemberRecord> records) override;
    void usageResponseReceived(control::usage::UsageTransport::Callback callback,
                               control::usage::UsageWindow reportedThrough) override;

private:
    ControlService &control_;
};

} // namespace boragetrack::daemon::service
