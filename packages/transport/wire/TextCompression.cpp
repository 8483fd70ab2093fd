/** Implements the compression of texts. */
#include "transport/wire/TextCompression.h"

#include <array>
#include <zlib.h>

namespace boragetrack::transport::wire {

namespace {

constexpr std::size_t outputStep = std::size_t{64} * 1024;

// zlib does not write to its input but takes it without const.
Bytef *bytesOf(std::string_view text)
{
    return const_cast<Bytef *>(reinterpret_cast<const Bytef *>(text.data()));
}

} // namespace

std::string compressText(const std::string &text)
{
    uLongf length = compressBound(text.size());
    std::string packed(length, '\0');
    // It can only fail for want of room, and the bound is enough.
    compress2(reinterpret_cast<Bytef *>(packed.data()), &length, bytesOf(text), text.size(),
              Z_BEST_SPEED);
    packed.resize(length);
    return packed;
}

std::optional<std::string> decompressText(std::string_view packed)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    stream.next_in = bytesOf(packed);
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string text;
    std::array<char, outputStep> output{};
    int result = Z_OK;
    while (result == Z_OK && text.size() <= maximumTextBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(output.data());
        stream.avail_out = static_cast<uInt>(output.size());
        result = inflate(&stream, Z_NO_FLUSH);
        text.append(output.data(), output.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || text.size() > maximumTextBytes)
        return std::nullopt;
    return text;
}

} // namespace boragetrack::transport::wire
