/** An immutable, resolved intent. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "control/intent/ResolvedRoute.h"
#include "core/identity/Revision.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace boragetrack::control::intent {

/** Holds one revision of the intent as one data centre's nodes apply it. */
class IntentSnapshot
{
public:
    /** Makes the empty snapshot of revision zero, which has no routes. */
    IntentSnapshot() = default;

    /** Resolves a validated document for the nodes of a data centre. */
    IntentSnapshot(core::identity::Revision revision, IntentDocument document,
                   const core::identity::DataCentreId &dataCentre, core::timing::WallTime now);

    /** Returns the revision. */
    core::identity::Revision revision() const { return revision_; }

    /** Returns the document that was resolved. */
    const IntentDocument &document() const { return document_; }

    /** Returns the route with the longest prefix of the path among those of the host, or else of
        those for any host; null without one. @param host without a port */
    const ResolvedRoute *routeFor(const std::string &host, const std::string &path) const;

    /** Returns a route by its name, or null. */
    const ResolvedRoute *routeNamed(const core::identity::RouteName &name) const;

    /** Returns the routes, longest prefix first. */
    const std::vector<ResolvedRoute> &routes() const { return routes_; }

    /** Returns what the intent says of a data centre, or null. */
    const DataCentreIntent *dataCentre(const core::identity::DataCentreId &name) const;

    /** Returns what the intent says of a service, or null. */
    const ServiceIntent *service(const core::identity::ServiceName &name) const;

private:
    core::identity::Revision revision_;
    IntentDocument document_;
    const ResolvedRoute *longestPrefix(const std::string &host, const std::string &path) const;

    // Invariant: ordered by falling prefix length; every service is listed in document_.
    std::vector<ResolvedRoute> routes_;
    // Invariant: indices into routes_, in its order, under each route's host.
    std::unordered_map<std::string, std::vector<std::size_t>> routesOfHost_;
    std::unordered_map<core::identity::RouteName, std::size_t> routesByName_;
};

} // namespace boragetrack::control::intent
