/** The HTTP headers of the native interface. */
#pragma once

namespace boragetrack::traffic::calls {

/** On a refusal, whether the call ran: "not-run", "unknown" or "ran-and-failed". */
inline constexpr const char *outcomeHeader = "X-Boragetrack-Outcome";
/** On a refusal, the reason as text. */
inline constexpr const char *reasonHeader = "X-Boragetrack-Reason";
/** The version that ran the call. */
inline constexpr const char *versionHeader = "X-Boragetrack-Version";
/** The same value on all duplicates of one non-idempotent request. */
inline constexpr const char *idempotencyKeyHeader = "Idempotency-Key";
/** The remaining time budget of a call, in milliseconds. */
inline constexpr const char *deadlineHeader = "X-Deadline-Ms";
/** The number of calls that a call is nested in. */
inline constexpr const char *hopCountHeader = "X-Hop-Count";
/** The attempt number of a call; the nested calls of a retry are not retried. */
inline constexpr const char *attemptHeader = "X-Boragetrack-Attempt";
/** The organisation whose key the caller presented; set by the node for the upstream. */
inline constexpr const char *organisationHeader = "X-Boragetrack-Organisation";
/** Set by an upstream on a 503 when it shed the request without running it. */
inline constexpr const char *shedHeader = "X-Upstream-Shed";

/** Calls with more hops than this are refused. */
inline constexpr int maximumHops = 16;

} // namespace boragetrack::traffic::calls
