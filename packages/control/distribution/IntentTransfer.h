/** The message by which an intent is sent between nodes. */
#pragma once

#include "core/identity/Revision.h"

#include <cstdint>
#include <string>

namespace boragetrack::control::distribution {

/** Carries an intent whole, or as the difference from an earlier revision. For envelopes the
    difference is a JSON patch (RFC 6902). */
struct IntentTransfer
{
    core::identity::Revision target;
    /** The revision that the payload is a difference from; zero for a whole intent. */
    core::identity::Revision base;
    /** The hash of the canonical text that results from the payload; checked by the receiver. */
    std::uint64_t textHash = 0;
    std::string payload;
};

} // namespace boragetrack::control::distribution
