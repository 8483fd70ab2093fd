/** Packs texts that are sent several times. */
#pragma once

#include "transport/wire/PackedText.h"

#include <cstdint>

namespace boragetrack::transport::wire {

/** Keeps the last packed text: a change goes to several peers in the same form. */
class TextPacker
{
public:
    /** Returns the packed form of a text, valid until the next call. @param hash of the text */
    const std::string &pack(const std::string &text, std::uint64_t hash)
    {
        if (packed_.empty() || hash != hash_) {
            packed_ = packText(text);
            hash_ = hash;
        }
        return packed_;
    }

private:
    std::uint64_t hash_ = 0;
    // Invariant: the packed form of the text that hash_ belongs to; empty before the first.
    std::string packed_;
};

} // namespace boragetrack::transport::wire
