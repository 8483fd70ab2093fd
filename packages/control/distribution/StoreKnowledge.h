/** What a node knows of the durable store, for logs and operators. */
#pragma once

#include "control/distribution/ChangeSource.h"
#include "control/distribution/IntentInForce.h"
#include "core/identity/Revision.h"

#include <chrono>
#include <optional>

namespace boragetrack::control::distribution {

/** Tells why a node relies on the intent that it serves: by its own watch, or by the response of a
    follower. */
struct StoreKnowledge
{
    /** The revision up to which all changes are held. */
    core::identity::Revision held;
    /** The highest revision that any other node has reported. */
    core::identity::Revision reported;
    /** Whether this node follows the store, and whether it is a selected follower. */
    bool isFollowing = false;
    bool isSelected = false;
    /** The follower whose response covered this node last, and how long ago it arrived. */
    core::identity::NodeId coveredBy;
    std::optional<std::chrono::milliseconds> coverageAge;
    /** The time since the last contact with the store that left no change unknown. */
    std::optional<std::chrono::milliseconds> contactAge;
    /** Where the last held changes came from. */
    ChangeSource updatedBy;
    IntentInForce intent;
};

} // namespace boragetrack::control::distribution
