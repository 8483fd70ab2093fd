/** Hashes that are the same in every process. */
#pragma once

#include <cstdint>
#include <string_view>

namespace boragetrack::core::hashing {

/** Returns the XXH3 hash of the text; equal on every node and in every run. */
std::uint64_t stableHash(std::string_view text);

/** Returns the rendezvous weight of a candidate for a topic; the highest weight is chosen. */
std::uint64_t rendezvousWeight(std::string_view topic, std::string_view candidate);

} // namespace boragetrack::core::hashing
