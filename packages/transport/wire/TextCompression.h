/** Compression of long texts in control messages. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace boragetrack::transport::wire {

/** The longest text that is unpacked, in bytes; the platform's values are at most a megabyte, and
    a transfer may hold several. */
inline constexpr std::size_t maximumTextBytes = std::size_t{16} * 1024 * 1024;

/** Returns a text in the form of zlib (RFC 1950). Lists of routes shrink to about a tenth. */
std::string compressText(const std::string &text);

/** Returns the text of a packed form; nothing when it is garbled or too long. */
std::optional<std::string> decompressText(std::string_view packed);

} // namespace boragetrack::transport::wire
