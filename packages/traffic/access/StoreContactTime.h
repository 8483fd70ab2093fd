/** When the store last confirmed what a node knows. */
#pragma once

#include "core/timing/MonotonicTime.h"

#include <optional>

namespace boragetrack::traffic::access {

/** Is published by the control thread. */
struct StoreContactTime
{
    /** The last contact with the store, of this node or of a peer that told it; nothing before the
        first one. */
    std::optional<core::timing::MonotonicTime> last;
};

} // namespace boragetrack::traffic::access
