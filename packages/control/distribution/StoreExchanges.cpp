/** A node that has read the store for another one sends an exchange, which that node answers by one
    of its own: only a response tells how old the contact is. */
#include "control/distribution/StoreExchanges.h"

namespace boragetrack::control::distribution {

using core::identity::NodeId;
using core::timing::MonotonicTime;

namespace {

// The time after which a request for a read is forgotten.
constexpr std::chrono::milliseconds readRequestLifetime{1000};

} // namespace

void StoreExchanges::poll()
{
    if (!store_.hasStore())
        return;
    if (!store_.role().isSelected()) {
        if (const auto follower = store_.role().nextFollowerToPoll(timers_.now()))
            sender_.sendExchange(*follower, ExchangePurpose::RequestUpdates);
        return;
    }
    // The response tells how recent the prober's contact with the store is, which spares this node
    // a charged read.
    const auto prober = store_.role().prober();
    if (prober && !store_.role().isSelf(*prober))
        sender_.sendExchange(*prober, ExchangePurpose::Inform);
}

void StoreExchanges::update()
{
    if (!store_.role().isReliedUpon(timers_.now()))
        return;
    for (const NodeId &node : reads_.takeNodesToAsk(store_.lastContact(), timers_.now()))
        sender_.sendExchange(node, ExchangePurpose::RequestStoreRead);
}

void StoreExchanges::announceUpdate()
{
    for (const NodeId &node : store_.role().updateReceivers(timers_.now()))
        sender_.sendExchange(node, ExchangePurpose::Inform);
}

void StoreExchanges::relayUpdate()
{
    for (const NodeId &node : store_.role().recentPollers(timers_.now()))
        sender_.sendExchange(node, ExchangePurpose::Inform);
}

void StoreExchanges::proofMissing()
{
    reads_.recordMissingProof(timers_.now());
    update();
}

void StoreExchanges::storeContacted(MonotonicTime askedAt)
{
    store_.recordStore(askedAt);
    reads_.recordOwnContact(askedAt);
    std::vector<NodeId> served;
    for (const auto &[node, requestedAt] : readRequests_) {
        if (askedAt >= requestedAt)
            served.push_back(node);
    }
    const MonotonicTime now = timers_.now();
    std::erase_if(readRequests_, [&](const auto &request) {
        return askedAt >= request.second || now - request.second > readRequestLifetime;
    });
    for (const NodeId &node : served)
        sender_.sendExchange(node, ExchangePurpose::Inform);
}

void StoreExchanges::requestReceived(const Exchange &request)
{
    const MonotonicTime now = timers_.now();
    if (request.requestsUpdates)
        store_.role().recordPoll(request.sender, now);
    if (request.requestsStoreRead)
        readRequests_.try_emplace(request.sender, now);
    const auto age = store_.contactAge();
    const bool isNewer = request.storeContactAge && (!age || *request.storeContactAge < *age);
    if (reads_.isProofMissing() && store_.role().isReliedUpon(now) && isNewer)
        sender_.sendExchange(request.sender, ExchangePurpose::Inform);
}

void StoreExchanges::responseReceived(const Exchange &response)
{
    store_.recordResponse(response);
    if (response.storeContactAge)
        reads_.recordContact(response.sender, timers_.now() - *response.storeContactAge);
}

} // namespace boragetrack::control::distribution
