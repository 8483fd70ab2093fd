/** Packs texts that are sent several times. */
#pragma once

#include "transport/wire/TextCompression.h"

#include <cstdint>

namespace boragetrack::transport::wire {

/** Keeps the last packed text: a change goes to several peers in the same form. */
class TextCompressor
{
public:
    /** Returns the packed form of a text, valid until the next call. @param hash of the text */
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
    // Invariant: the packed form of the text that hash_ belongs to; empty before the first.
    std::string compressed_;
};

} // namespace boragetrack::transport::wire
