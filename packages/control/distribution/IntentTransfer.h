/** An intent on its way from node to node. */
#pragma once

#include "core/identity/Revision.h"

#include <cstdint>
#include <string>

namespace boragetrack::control::distribution {

/** Carries an envelope whole, or as a JSON patch (RFC 6902) of an earlier one. */
struct IntentTransfer
{
    core::identity::Revision target;
    /** The revision that the patch applies to; zero when the payload is the whole envelope. */
    core::identity::Revision base;
    /** The hash of the envelope's canonical text, checked after a patch. */
    std::uint64_t textHash = 0;
    std::string payload;
};

} // namespace boragetrack::control::distribution
