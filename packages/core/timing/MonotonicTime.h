/** A point on the monotonic clock. */
#pragma once

#include <chrono>

namespace boragetrack::core::timing {

/** Marks an instant for timeouts and rates; never compared between processes. */
using MonotonicTime = std::chrono::steady_clock::time_point;

} // namespace boragetrack::core::timing
