/** Implements the rules of the gate. */
#include "traffic/inbound/InboundRules.h"

#include <algorithm>

namespace boragetrack::traffic::inbound {

using admission::AdmissionLimits;
using control::membership::UpstreamRecord;
using control::membership::UpstreamState;

std::optional<std::string> refusalReason(const calls::CallRequest &request,
                                         const std::optional<UpstreamRecord> &upstream,
                                         const routing::RoutingSnapshot &snapshot)
{
    if (!upstream || upstream->service != request.service)
        return "no upstream of the asked service runs beside this node";
    if (upstream->version != request.version)
        return "no upstream of the asked version runs beside this node";
    if (upstream->state != UpstreamState::Serving)
        return "the upstream is draining";
    const auto *dataCentre = snapshot.intent->dataCentre(snapshot.dataCentre);
    if (dataCentre != nullptr && dataCentre->isOut)
        return "the data centre is out";
    const auto *target = snapshot.targetNamed(request.route);
    if (target != nullptr && !target->shareOf(request.service).mayServe(request.version))
        return "the version takes no calls";
    return std::nullopt;
}

AdmissionLimits limitsFor(const UpstreamRecord &upstream, const routing::RoutingSnapshot &snapshot,
                          int connections)
{
    // All routes of the service share the upstream: its strictest limits hold, and the longest
    // queue, which deadlines bound besides.
    AdmissionLimits limits{connections, std::max(1, upstream.slots), 0};
    for (const auto &target : snapshot.targets) {
        const auto &route = target.entry.route;
        const auto isPart = [&](const auto &part) { return part.service == upstream.service; };
        const bool isConcerned = route.service == upstream.service
                                 || std::any_of(route.split.begin(), route.split.end(), isPart);
        if (!isConcerned)
            continue;
        const auto &settings = target.entry.settings;
        limits.start = std::min(limits.start, settings.startConcurrency);
        limits.maximum = std::min(limits.maximum, settings.concurrencyLimit);
        limits.queue = std::max(limits.queue, settings.queueLimit);
    }
    return limits;
}

} // namespace boragetrack::traffic::inbound
