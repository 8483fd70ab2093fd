/** What became of an edit. */
#pragma once

namespace boragetrack::control::store {

/** Tells how an edit of the intent ended. */
enum class EditOutcome {
    /** The change is stored and will be in force everywhere. */
    Accepted,
    /** The change was invalid; nothing was written. */
    Refused,
    /** Another operator's change came first; nothing was written. */
    Conflict,
    /** The platform could not be reached; nothing was written. */
    PlatformUnavailable,
    /** The platform stopped answering while the change was under way; only its return tells. */
    Unknown,
};

} // namespace boragetrack::control::store
