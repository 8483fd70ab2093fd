/** Access by the keys of callers' organisations. */
#pragma once

#include "traffic/access/AccessPolicy.h"
#include "traffic/access/KeyDirectory.h"

namespace boragetrack::traffic::access {

/**
    Demands a known key of each request, except on public routes and for nested calls.

    A nested call inherits the organisation of the request that makes it. A request without a key
    whose identifier has the form of a nested call's is refused for the time being, not for good, if
    no request runs that could have made it: the node may have restarted while its upstream kept
    running.
*/
class KeyAccess : public AccessPolicy
{
public:
    explicit KeyAccess(const std::vector<control::intent::Organisation> &organisations)
        : keys_(organisations)
    {}

    bool usesKeys() const override { return true; }
    AccessDecision decide(const AccessRequest &request) const override;

private:
    AccessDecision grantNested(const core::identity::OrganisationName &parent) const;
    AccessDecision checkKey(const std::vector<std::string> &authorizations) const;

    KeyDirectory keys_;
};

} // namespace boragetrack::traffic::access
