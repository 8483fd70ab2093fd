/** The intent that a node decides by. */
#pragma once

#include "core/identity/IntentNumber.h"

#include <chrono>
#include <optional>

namespace boragetrack::control::distribution {

/** Names the intent in force on a node, which need not be the latest one that it holds. */
struct IntentInForce
{
    /** The operators' number; zero before the first intent. */
    core::identity::IntentNumber number;
    /** The time for which the intent has been in force; nothing before the first one. */
    std::optional<std::chrono::milliseconds> age;
};

} // namespace boragetrack::control::distribution
