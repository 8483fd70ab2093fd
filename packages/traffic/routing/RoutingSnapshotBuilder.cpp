/** Turns members into registrars and, when their upstream serves with a positive weight, into
    endpoints. */
#include "traffic/routing/RoutingSnapshotBuilder.h"

#include "traffic/access/KeyAccess.h"
#include "traffic/routing/EndpointSubset.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

using control::membership::MemberRecord;
using control::membership::MemberState;
using control::membership::UpstreamState;

namespace {

bool isMember(const MemberRecord &record)
{
    return record.state == MemberState::Alive || record.state == MemberState::Suspect;
}

double weightOf(const control::intent::IntentSnapshot &intent, const MemberRecord &record,
                const DataCentreRampUp &rampUp, core::timing::MonotonicTime now)
{
    const auto *dataCentre = intent.dataCentre(record.dataCentre);
    const double intended = dataCentre == nullptr ? 1.0 : dataCentre->weightPercent / 100.0;
    return intended * rampUp.weightOf(record.dataCentre, now);
}

RouteTarget targetOf(const control::intent::ResolvedRoute &entry, const ShareQuery &shareOf)
{
    const control::intent::Route &route = entry.route;
    if (route.split.empty())
        return RouteTarget{entry, shareOf(route, route.service), {}};
    RouteTarget target{entry, {}, {}};
    for (const auto &part : route.split)
        target.splitShares.push_back(shareOf(route, part.service));
    return target;
}

void addMember(RoutableMembers &members, const MemberRecord &record, double weight)
{
    members.registrars.push_back(Registrar{record.id, control::membership::processIdOf(record),
                                           record.peerAddress, record.dataCentre});
    if (record.upstream.state != UpstreamState::Serving || weight <= 0.0)
        return;
    members.endpoints[record.upstream.service].push_back(Endpoint{
            record.id, record.peerAddress, record.dataCentre, record.upstream.version,
            std::max(1, record.upstream.slots), weight, record.state == MemberState::Suspect});
}

} // namespace

std::shared_ptr<const RoutableMembers>
buildRoutableMembers(const control::intent::IntentSnapshot &intent,
                     const control::membership::MemberTable &members, const MemberRecord &self,
                     const DataCentreRampUp &rampUp, core::timing::MonotonicTime now)
{
    auto routable = std::make_shared<RoutableMembers>();
    for (const auto &[id, record] : members.records()) {
        if (isMember(record))
            addMember(*routable, record, weightOf(intent, record, rampUp, now));
    }
    for (auto &[service, endpoints] : routable->endpoints)
        endpoints = selectEndpointSubset(std::move(endpoints), self.id, self.dataCentre);
    return routable;
}

std::shared_ptr<const access::AccessPolicy>
buildAccessPolicy(const control::intent::IntentDocument &document)
{
    if (!document.organisations)
        return std::make_shared<access::OpenAccess>();
    return std::make_shared<access::KeyAccess>(*document.organisations);
}

std::shared_ptr<const RoutingSnapshot>
buildRoutingSnapshot(const std::shared_ptr<const control::intent::IntentSnapshot> &intent,
                     std::shared_ptr<const RoutableMembers> members,
                     std::shared_ptr<const access::AccessPolicy> access, const MemberRecord &self,
                     const ShareQuery &shareOf, bool needsEvidence,
                     std::shared_ptr<const IntentOrigin> origin,
                     std::shared_ptr<const IntentHistory> history)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->intent = intent;
    snapshot->members = std::move(members);
    snapshot->access = std::move(access);
    if (origin)
        snapshot->origin = std::move(origin);
    if (history)
        snapshot->history = std::move(history);
    snapshot->self = self.id;
    snapshot->needsEvidence = needsEvidence;
    snapshot->dataCentre = self.dataCentre;
    snapshot->isServing = intent->revision() != core::identity::Revision{};
    snapshot->targets.reserve(intent->routes().size());
    for (const auto &entry : intent->routes())
        snapshot->targets.push_back(targetOf(entry, shareOf));
    return snapshot;
}

} // namespace boragetrack::traffic::routing
