/** Hashes with XXH3; a topic's hash seeds the hash of its candidates. */
#include "core/hashing/StableHash.h"

#include <xxhash.h>

namespace boragetrack::core::hashing {

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousWeight(std::string_view topic, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), stableHash(topic));
}

} // namespace boragetrack::core::hashing
