/** Digests and their comparison come from libsodium. */
#include "control/intent/KeyDigest.h"

#include <cstring>
#include <sodium.h>

namespace boragetrack::control::intent {

static_assert(KeyDigest::size == crypto_hash_sha256_BYTES);

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    crypto_hash_sha256(digest.bytes_.data(), reinterpret_cast<const unsigned char *>(key.data()),
                       key.size());
    return digest;
}

std::optional<KeyDigest> KeyDigest::fromHex(std::string_view text)
{
    KeyDigest digest;
    std::size_t length = 0;
    const int result = sodium_hex2bin(digest.bytes_.data(), size, text.data(), text.size(), nullptr,
                                      &length, nullptr);
    if (text.size() != 2 * size || result != 0 || length != size)
        return std::nullopt;
    return digest;
}

std::string KeyDigest::toHex() const
{
    std::array<char, 2 * size + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes_.data(), size);
    return {text.data(), 2 * size};
}

bool operator==(const KeyDigest &a, const KeyDigest &b)
{
    return sodium_memcmp(a.bytes_.data(), b.bytes_.data(), KeyDigest::size) == 0;
}

std::size_t KeyDigest::hash() const
{
    std::size_t value = 0;
    std::memcpy(&value, bytes_.data(), sizeof(value));
    return value;
}

} // namespace boragetrack::control::intent
