/** Immutable view of the intent for lookups during calls. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/intent/ResolvedRoute.h"
#include "core/identity/Revision.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace boragetrack::control::intent {

/** Contains one revision of the intent with the settings that apply in one data centre. */
class IntentSnapshot
{
public:
    /** Creates the empty snapshot of revision zero, which has no routes. */
    IntentSnapshot() = default;

    /** Resolves a validated document for the nodes of a data centre.
        @param now exceptions that have expired at this time are ignored */
    IntentSnapshot(core::identity::Revision revision, IntentDocument document,
                   const core::identity::DataCentreId &dataCentre, core::timing::WallTime now);

    /** Returns the revision of the intent; zero for the empty snapshot. */
    core::identity::Revision revision() const { return revision_; }

    /** Returns the document that was resolved. */
    const IntentDocument &document() const { return document_; }

    /** Returns the route of the host with the longest matching prefix, or else such a route for
        any host; null if none matches. @param host without a port */
    const ResolvedRoute *routeFor(const std::string &host, const std::string &path) const;

    /** Returns a route by its name; null if there is none. */
    const ResolvedRoute *routeNamed(const core::identity::RouteName &name) const;

    /** Returns all routes, longest prefix first. */
    const std::vector<ResolvedRoute> &routes() const { return routes_; }

    /** Returns the entry of a data centre; null if there is none. */
    const DataCentreIntent *dataCentre(const core::identity::DataCentreId &name) const;

    /** Returns the entry of a service; null if there is none. */
    const ServiceIntent *service(const core::identity::ServiceName &name) const;

private:
    core::identity::Revision revision_;
    IntentDocument document_;
    const ResolvedRoute *longestPrefix(const std::string &host, const std::string &path) const;

    // Invariant: sorted by descending prefix length; document_ lists every service.
    std::vector<ResolvedRoute> routes_;
    // Invariant: contains the indices of all routes in routes_, in ascending order, by host.
    std::unordered_map<std::string, std::vector<std::size_t>> routesOfHost_;
    std::unordered_map<core::identity::RouteName, std::size_t> routesByName_;
};

} // namespace boragetrack::control::intent
