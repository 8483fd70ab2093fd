/** Keys in the platform's key-value service. */
#pragma once

namespace boragetrack::control::store {

/** The key of the intent's envelope. */
inline constexpr const char *intentKey = "boragetrack/intent";

/** The prefix of the keys of the audit trail; the day follows, such as "2026-12-04". */
inline constexpr const char *auditKeyPrefix = "boragetrack/audit/";

} // namespace boragetrack::control::store
