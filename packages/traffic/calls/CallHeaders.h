/** The headers that the system reads and writes. */
#pragma once

namespace boragetrack::traffic::calls {

/** Tells, on a refusal, whether the call ran: "not-run", "unknown" or "ran-and-failed". */
inline constexpr const char *outcomeHeader = "X-Boragetrack-Outcome";
/** Gives the reason of a refusal in words. */
inline constexpr const char *reasonHeader = "X-Boragetrack-Reason";
/** Names the version that answered. */
inline constexpr const char *versionHeader = "X-Boragetrack-Version";
/** Marks all repeats of one non-idempotent request. */
inline constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
/** Gives the time that is left for a call, in milliseconds. */
inline constexpr const char *deadlineHeader = "X-Deadline-Ms";
/** Counts the calls that a call is nested in. */
inline constexpr const char *hopCountHeader = "X-Hop-Count";
/** Marks a call that belongs to a repeated attempt, whose own calls are not repeated again. */
inline constexpr const char *attemptHeader = "X-Boragetrack-Attempt";
/** Set by an upstream on a 503 when it shed the request without running it. */
inline constexpr const char *shedHeader = "X-Upstream-Shed";

/** Calls nested deeper than this are refused. */
inline constexpr int maximumHops = 16;

} // namespace boragetrack::traffic::calls
