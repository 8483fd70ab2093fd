/** The reasons for which a node serves no intent. */
#pragma once

namespace boragetrack::control::distribution {

/** States which condition for the first intent of a process is not met. */
enum class IntentWaitReason {
    /** Neither the store nor a peer has responded. */
    NothingHeard,
    /** No intent was received; those that responded have none, or did not send it. */
    NothingHeld,
    /** A peer remembers a higher revision than the held one, see IntentPropagator::minimumWait. */
    BelowMinimum,
    /** No other node is known to hold the intent that was read from the store. */
    NotConfirmed,
};

/** Returns a description for operators. */
inline const char *describe(IntentWaitReason reason)
{
    switch (reason) {
    case IntentWaitReason::NothingHeard:
        return "neither the store nor a peer has responded";
    case IntentWaitReason::NothingHeld:
        return "no intent received";
    case IntentWaitReason::BelowMinimum:
        return "a peer remembers a higher revision";
    case IntentWaitReason::NotConfirmed:
        break;
    }
    return "no other node holds the intent";
}

} // namespace boragetrack::control::distribution
