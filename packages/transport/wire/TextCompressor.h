/** Compression of texts that are sent to several peers. */
#pragma once

#include "transport/wire/TextCompression.h"

#include <cstdint>

namespace boragetrack::transport::wire {

/** Caches the result for the last text, since a change is sent to several peers. */
class TextCompressor
{
public:
    /** Returns the compressed text, valid until the next call. @param hash of the text */
    const std::string &compress(const std::string &text, std::uint64_t hash)
    {
        if (compressed_.empty() || hash != hash_) {
            compressed_ = compressText(text);
            hash_ = hash;
        }
        return compressed_;
    }

private:
    std::uint64_t hash_ = 0;
    // Invariant: the compressed text whose hash is hash_; empty before the first call.
    std::string compressed_;
};

} // namespace boragetrack::transport::wire
