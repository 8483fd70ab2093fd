/** The decision whether a request may be served. */
#pragma once

#include "traffic/access/AccessDecision.h"
#include "traffic/access/AccessRequest.h"

namespace boragetrack::traffic::access {

/** Decides about each request of callers once its route is known. Immutable. */
class AccessPolicy
{
public:
    virtual ~AccessPolicy() = default;

    /** Returns whether requests carry keys. If so, the field with the key and callers' values of
        the field that names the organisation are not passed on. */
    virtual bool usesKeys() const = 0;

    /** Returns whether a request may be served, and for which organisation. */
    virtual AccessDecision decide(const AccessRequest &request) const = 0;
};

} // namespace boragetrack::traffic::access
