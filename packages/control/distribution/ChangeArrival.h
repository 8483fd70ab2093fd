/** How the latest changes reached a node. */
#pragma once

#include "control/distribution/ChangeSource.h"
#include "core/identity/Revision.h"
#include "core/timing/MonotonicTime.h"

#include <optional>

namespace boragetrack::control::distribution {

/** Tells when and by which way a node came to hold a revision, and since when others held it. */
struct ChangeArrival
{
    /** The revision up to which all changes are held. */
    core::identity::Revision revision;
    ChangeSource source;
    core::timing::MonotonicTime arrivedAt{};
    /** Since when a node that this one has heard of held a change that this one lacked until then.
        Invariant: not after arrivedAt. */
    core::timing::MonotonicTime knownSince{};
    /** When the store was last known, before the change came, to hold none that this node lacked;
        nothing without a contact. The change was stored after this time. */
    std::optional<core::timing::MonotonicTime> provenBefore;

    /** Returns how long another node had held the change before it came here. */
    core::timing::MonotonicTime::duration delay() const { return arrivedAt - knownSince; }
};

} // namespace boragetrack::control::distribution
