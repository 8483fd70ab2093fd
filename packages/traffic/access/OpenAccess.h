/** Access without keys. */
#pragma once

#include "traffic/access/AccessPolicy.h"

namespace boragetrack::traffic::access {

/** Serves every request; applies while the intent has no organisations. */
class OpenAccess : public AccessPolicy
{
public:
    bool usesKeys() const override { return false; }
    AccessDecision decide(const AccessRequest & /*request*/) const override { return {}; }
};

} // namespace boragetrack::traffic::access
