/** A sender whose intent is later than the settled one of this node is never outdated here. */
#include "traffic/inbound/OutdatedCalls.h"

#include <algorithm>

namespace boragetrack::traffic::inbound {

using control::intent::IntentSnapshot;

namespace {

bool allows(const IntentSnapshot &intent, const calls::CallRequest &request)
{
    const auto *entry = intent.routeNamed(request.route);
    if (entry == nullptr)
        return false;
    const auto &parts = entry->route.split;
    if (parts.empty())
        return entry->route.service == request.service;
    return std::any_of(parts.begin(), parts.end(),
                       [&](const auto &part) { return part.service == request.service; });
}

} // namespace

bool isOutdated(const calls::CallRequest &request, const routing::RoutingSnapshot &snapshot,
                core::timing::MonotonicTime now)
{
    const IntentSnapshot *settled = snapshot.history->settledAt(now);
    // A peer of an earlier release doesn't tell its revision.
    if (settled == nullptr || request.intentRevision == core::identity::Revision{}
        || request.intentRevision >= settled->revision())
        return false;
    return !allows(*settled, request) && !allows(*snapshot.intent, request);
}

} // namespace boragetrack::traffic::inbound
