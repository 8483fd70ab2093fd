/** Takes the random numbers of the operating system through libsodium. */
#include "operators/keys/KeyGenerator.h"

#include <array>
#include <sodium.h>

namespace boragetrack::operators::keys {

absl::StatusOr<std::string> generateKey()
{
    if (sodium_init() < 0)
        return absl::InternalError("libsodium finds no source of random numbers");
    std::array<unsigned char, keyBits / 8> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * bytes.size() + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    std::string key(text.data(), 2 * bytes.size());
    sodium_memzero(bytes.data(), bytes.size());
    sodium_memzero(text.data(), text.size());
    return key;
}

} // namespace boragetrack::operators::keys
