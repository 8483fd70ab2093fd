/** What became of an offered intent. */
#pragma once

namespace boragetrack::control::distribution {

/** Tells how a node took an envelope that it was offered. */
enum class OfferResult {
    /** The envelope is newer, valid and now held. */
    Accepted,
    /** The envelope is newer and now held, but for entries that could not be read: those stay as
        they were last readable. */
    PartlyAccepted,
    /** The held intent is confirmed as that of a later revision; what it says is the same. */
    Confirmed,
    /** The envelope is the held one or older. */
    NotNewer,
    /** The envelope is invalid; the held one stays. */
    Refused,
};

} // namespace boragetrack::control::distribution
