/** The construction of routing snapshots from control state. */
#pragma once

#include "control/membership/MemberTable.h"
#include "traffic/routing/DataCentreRampUp.h"
#include "traffic/routing/RoutingSnapshot.h"

#include <functional>

namespace boragetrack::traffic::routing {

/** Returns how a route's calls to a service are divided between its versions at present. */
using ShareQuery = std::function<control::moves::RouteShare(const control::intent::Route &,
                                                            const core::identity::ServiceName &)>;

/** Returns the members that calls may be sent to, of other data centres a subset.
    @param self the record of this node */
std::shared_ptr<const RoutableMembers>
buildRoutableMembers(const control::intent::IntentSnapshot &intent,
                     const control::membership::MemberTable &members,
                     const control::membership::MemberRecord &self, const DataCentreRampUp &rampUp,
                     core::timing::MonotonicTime now);

/** Returns the access policy of an intent: by keys if it has organisations. Worth building only
   once for each intent. */
std::shared_ptr<const access::AccessPolicy>
buildAccessPolicy(const control::intent::IntentDocument &document);

/** Returns a snapshot of the present control state. Runs on the control thread.
    @param members the members that calls may be sent to
    @param access the access policy of the intent
    @param self the record of this node
    @param needsEvidence whether a move is evaluated
    @param origin where the intent came from; null if unknown
    @param history the intents until a moment ago; null if unknown */
std::shared_ptr<const RoutingSnapshot>
buildRoutingSnapshot(const std::shared_ptr<const control::intent::IntentSnapshot> &intent,
                     std::shared_ptr<const RoutableMembers> members,
                     std::shared_ptr<const access::AccessPolicy> access,
                     const control::membership::MemberRecord &self, const ShareQuery &shareOf,
                     bool needsEvidence, std::shared_ptr<const IntentOrigin> origin = nullptr,
                     std::shared_ptr<const IntentHistory> history = nullptr);

} // namespace boragetrack::traffic::routing
