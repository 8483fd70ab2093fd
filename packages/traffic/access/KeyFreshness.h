/** The decision whether the keys that a node knows may be relied on. */
#pragma once

#include "traffic/access/KeyFreshnessLimits.h"
#include "traffic/access/StoreContactTime.h"

namespace boragetrack::traffic::access {

/** Bounds the time for which a node that is cut off accepts a key that was removed meanwhile. */
class KeyFreshness
{
public:
    explicit KeyFreshness(const KeyFreshnessLimits &limits)
        : limits_(limits)
    {}

    /** Returns whether keys may be used now. */
    bool areKeysCurrent(const StoreContactTime &contact, core::timing::MonotonicTime now) const
    {
        return !limits_.isStrict || (contact.last && now - *contact.last <= limits_.limit);
    }

private:
    KeyFreshnessLimits limits_;
};

} // namespace boragetrack::traffic::access
