/** Refusals that callers take as final come last, after all reasons for which this node may know
    too little to decide. */
#include "traffic/access/KeyAccess.h"

#include "traffic/access/BearerCredentials.h"

namespace boragetrack::traffic::access {

namespace {

AccessDecision unauthorized(const std::string &reason)
{
    return {AccessVerdict::Unauthorized, {}, {}, reason};
}

AccessDecision undecided(const std::string &reason)
{
    return {AccessVerdict::Undecided, {}, {}, reason};
}

} // namespace

AccessDecision KeyAccess::decide(const AccessRequest &request) const
{
    if (request.parentOrganisation)
        return grantNested(*request.parentOrganisation);
    if (request.route.isPublic) {
        const AccessDecision decision = checkKey(request.authorizations);
        return decision.verdict == AccessVerdict::Granted ? decision : AccessDecision{};
    }
    if (request.hasNestedForm && request.authorizations.empty())
        return undecided("the request that makes this nested call is not running on this node");
    if (!request.areKeysCurrent)
        return undecided("the keys of this node may be out of date");
    return checkKey(request.authorizations);
}

AccessDecision KeyAccess::grantNested(const core::identity::OrganisationName &parent) const
{
    const KeyOwner *owner = keys_.organisation(parent);
    return {AccessVerdict::Granted, parent, owner == nullptr ? std::nullopt : owner->priority, {}};
}

AccessDecision KeyAccess::checkKey(const std::vector<std::string> &authorizations) const
{
    if (authorizations.empty())
        return unauthorized("the request has no key");
    if (authorizations.size() > 1)
        return unauthorized("the request has more than one authorization");
    const BearerCredentials credentials(authorizations.front());
    if (!credentials.key())
        return unauthorized(credentials.fault());
    const KeyOwner *owner = keys_.ownerOf(*credentials.key());
    if (owner == nullptr)
        return unauthorized("the key is unknown");
    return {AccessVerdict::Granted, owner->organisation, owner->priority, {}};
}

} // namespace boragetrack::traffic::access
