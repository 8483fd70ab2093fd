/** The form in which keys of callers are held. */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace boragetrack::control::intent {

/** The SHA-256 digest of a key. The key itself is not kept, so that neither logs nor memory dumps
    reveal it. */
class KeyDigest
{
public:
    static constexpr std::size_t size = 32;
    /** The number of hexadecimal digits by which a key is shown to operators. */
    static constexpr std::size_t prefixDigits = 12;

    /** Returns the digest of a key. */
    static KeyDigest of(std::string_view key);

    /** Parses 64 hexadecimal digits. @returns nothing for any other text */
    static std::optional<KeyDigest> fromHex(std::string_view text);

    /** Returns the 64 hexadecimal digits of the digest, in lower case. */
    std::string toHex() const;

    /** Returns the first digits of toHex(), which identify a key to operators. */
    std::string prefix() const { return toHex().substr(0, prefixDigits); }

    /** Returns whether two digests are the same; takes the same time whichever byte differs. */
    friend bool operator==(const KeyDigest &a, const KeyDigest &b);

    /** Returns a hash for tables; digests are evenly distributed already. */
    std::size_t hash() const;

private:
    std::array<unsigned char, size> bytes_{};
};

} // namespace boragetrack::control::intent

/** Lets KeyDigest be the key of unordered containers. */
template <>
struct std::hash<boragetrack::control::intent::KeyDigest>
{
    std::size_t operator()(const boragetrack::control::intent::KeyDigest &digest) const
    {
        return digest.hash();
    }
};
