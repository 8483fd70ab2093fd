/** Time on the monotonic clock. */
#pragma once

#include <chrono>

namespace boragetrack::core::timing {

/** Time point for timeouts and rates. Not comparable between processes. */
using MonotonicTime = std::chrono::steady_clock::time_point;

} // namespace boragetrack::core::timing
