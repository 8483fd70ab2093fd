/** The keys that the system uses in the platform. */
#pragma once

namespace boragetrack::control::store {

/** Holds the intent's envelope. */
inline constexpr const char *intentKey = "boragetrack/intent";

/** Starts the keys of the audit trail; the day follows as "2026-12-04". */
inline constexpr const char *auditKeyPrefix = "boragetrack/audit/";

} // namespace boragetrack::control::store
