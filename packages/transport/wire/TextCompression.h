/** Compression of texts in control messages. */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace boragetrack::transport::wire {

/** Maximum size of a decompressed text, in bytes. A value in the platform's store has at most a
    megabyte, and a transfer may hold several values. */
inline constexpr std::size_t maximumTextBytes = std::size_t{16} * 1024 * 1024;

/** Returns a text in zlib format (RFC 1950). Lists of routes shrink to about a tenth. */
std::string compressText(const std::string &text);

/** Returns the decompressed text, or nothing if the data is corrupt or the text exceeds
    maximumTextBytes. */
std::optional<std::string> decompressText(std::string_view compressed);

} // namespace boragetrack::transport::wire
