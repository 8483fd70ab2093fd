/** One connection of a simulated node to the store. */
#pragma once

#include "core/timing/MonotonicTime.h"

namespace boragetrack::emulator::restarts {

/** Describes a connection that carries one call at a time. */
struct StoreConnection
{
    /** Whether nothing arrives on it any more, in either direction, while it stays open. */
    bool isSilent = false;
    /** When the last response on it arrived. */
    core::timing::MonotonicTime respondedAt{};
};

} // namespace boragetrack::emulator::restarts
