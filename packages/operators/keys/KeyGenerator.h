/** Generation of keys for organisations. */
#pragma once

#include <absl/status/statusor.h>
#include <string>

namespace boragetrack::operators::keys {

/** The number of random bits of a key. */
inline constexpr std::size_t keyBits = 160;

/** Returns a new random key as 40 hexadecimal digits, which are token68 characters (RFC 7235) and
    need no quoting in shells. Errors: Internal if the system has no random numbers. */
absl::StatusOr<std::string> generateKey();

} // namespace boragetrack::operators::keys
