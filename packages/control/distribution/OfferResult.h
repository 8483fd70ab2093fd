/** The results of offering an intent to a replica. */
#pragma once

namespace boragetrack::control::distribution {

/** States whether an offered intent was stored, and why not. */
enum class OfferResult {
    /** The intent was newer and valid, and is stored. */
    Accepted,
    /** The intent was newer and is stored, except for records that could not be read; their last
        readable content stays. */
    PartlyAccepted,
    /** The held content is confirmed for a later revision; nothing else changed. */
    Confirmed,
    /** The revision is not newer than the held one. */
    NotNewer,
    /** The intent is invalid; the held one stays. */
    Refused,
};

} // namespace boragetrack::control::distribution
