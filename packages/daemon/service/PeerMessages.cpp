/** Requests that come while the control plane does not run get no response. */
#include "daemon/service/PeerMessages.h"

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::distribution::PeerContact;
using control::membership::MemberRecord;
using control::membership::MemberTable;
using control::usage::UsageSnapshot;
using control::usage::UsageTransport;
using control::usage::UsageWindow;
using core::identity::NodeId;
using core::identity::Revision;

void PeerMessages::handleExchange(Exchange request, Callback<Exchange> callback)
{
    control_.post([request = std::move(request), callback = std::move(callback)](
                          ControlPlane &plane) { callback(plane.exchangeReceived(request)); });
}

void PeerMessages::handlePush(NodeId sender, IntentTransfer transfer, Callback<Revision> callback)
{
    control_.post([sender, transfer = std::move(transfer),
                   callback = std::move(callback)](ControlPlane &plane) {
        callback(plane.intentReceived(PeerContact{sender, {}}, transfer));
    });
}

void PeerMessages::handleFetchIntent(Revision have, Callback<IntentTransfer> callback)
{
    control_.post([have, callback = std::move(callback)](ControlPlane &plane) {
        callback(plane.transferSince(have));
    });
}

void PeerMessages::handleFetchMembers(MemberTable::BucketHashes hashes,
                                      Callback<std::vector<MemberRecord>> callback)
{
    control_.post([hashes, callback = std::move(callback)](ControlPlane &plane) {
        callback(plane.membersDifferingFrom(hashes));
    });
}

void PeerMessages::handleUsage(UsageSnapshot snapshot, Callback<UsageWindow> callback)
{
    if (control_.usage() == nullptr)
        return;
    control_.post([this, snapshot = std::move(snapshot),
                   callback = std::move(callback)](ControlPlane & /*plane*/) {
        callback(control_.usage()->snapshotReceived(snapshot));
    });
}

void PeerMessages::exchangeResponseReceived(PeerContact peer, Exchange response)
{
    control_.post([peer, response = std::move(response)](ControlPlane &plane) {
        plane.exchangeResponseReceived(peer, response);
    });
}

void PeerMessages::exchangeFailed(PeerContact peer)
{
    control_.post([peer](ControlPlane &plane) { plane.exchangeFailed(peer); });
}

void PeerMessages::peerDisconnected(core::identity::NetworkAddress peer)
{
    control_.post([peer](ControlPlane &plane) { plane.peerDisconnected(peer); });
}

void PeerMessages::intentFetched(PeerContact peer, IntentTransfer transfer)
{
    control_.post([peer, transfer = std::move(transfer)](ControlPlane &plane) {
        plane.intentReceived(peer, transfer);
    });
}

void PeerMessages::pushResponseReceived(Revision peerRevision)
{
    control_.post(
            [peerRevision](ControlPlane &plane) { plane.pushResponseReceived(peerRevision); });
}

void PeerMessages::laterIntentSeen(PeerContact peer, Revision revision)
{
    control_.post([peer, revision](ControlPlane &plane) { plane.laterIntentSeen(peer, revision); });
}

void PeerMessages::membersFetched(std::vector<MemberRecord> records)
{
    control_.post([records = std::move(records)](ControlPlane &plane) {
        plane.membersReceived(records);
    });
}

void PeerMessages::usageResponseReceived(UsageTransport::Callback callback,
                                         UsageWindow reportedThrough)
{
    control_.post([callback = std::move(callback), reportedThrough](ControlPlane & /*plane*/) {
        callback(reportedThrough);
    });
}

} // namespace boragetrack::daemon::service
