/** How long keys may be used without news of the store. */
#pragma once

#include <chrono>

namespace boragetrack::traffic::access {

/** Parameters of KeyFreshness. */
struct KeyFreshnessLimits
{
    /** Whether keys expire at all. */
    bool isStrict = false;
    /** The greatest age of the last contact with the store. */
    std::chrono::milliseconds limit{0};
};

} // namespace boragetrack::traffic::access
