/** Where the intent of a snapshot came from. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <string>

namespace boragetrack::traffic::routing {

/** Tells for the log lines of calls how and when the intent that decided them came. */
struct IntentOrigin
{
    /** The node that sent it, or the kind of the store's call that returned it. */
    std::string from;
    /** Since when it is in force on this node. */
    core::timing::MonotonicTime inForceSince{};
};

} // namespace boragetrack::traffic::routing
