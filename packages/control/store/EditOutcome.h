/** Outcome of an edit of the intent. */
#pragma once

namespace boragetrack::control::store {

/** The possible outcomes of an edit. */
enum class EditOutcome {
    /** The change is stored and will be in force on all nodes. */
    Accepted,
    /** The change was invalid, or nodes serve a newer revision than the stored one; nothing was
        written. */
    Refused,
    /** Another change was stored first; nothing was written. */
    Conflict,
    /** The platform did not serve the call, or its stored intent is not readable; the change was
        not written. */
    PlatformUnavailable,
    /** The platform stopped responding while the change was being written. Whether it took effect
        is known only when the platform is available again. */
    Unknown,
};

} // namespace boragetrack::control::store
