/** The state of an idempotency key in the replay table. */
#pragma once

namespace boragetrack::traffic::deduplication {

/** New for the first request with a key, Running while that request runs, and Finished once its
    response is stored. */
enum class ReplayState { New, Running, Finished };

} // namespace boragetrack::traffic::deduplication
