/** Hash functions with the same result in every process. */
#pragma once

#include <cstdint>
#include <string_view>

namespace boragetrack::core::hashing {

/** Returns the 64-bit XXH3 hash of a text; the same on every node and in every run. */
std::uint64_t stableHash(std::string_view text);

/** Returns the weight of a candidate for a topic in rendezvous hashing, where the candidate with
    the highest weight is selected. */
std::uint64_t rendezvousWeight(std::string_view topic, std::string_view candidate);

} // namespace boragetrack::core::hashing
