/** What is remembered of a keyed request. */
#pragma once

namespace boragetrack::traffic::deduplication {

/** Tells whether a request with the same key came before. */
enum class ReplayState { New, Running, Finished };

} // namespace boragetrack::traffic::deduplication
