/** Why a node sends an exchange outside the periodic ones. */
#pragma once

namespace boragetrack::control::distribution {

/** Distinguishes what the sender wants of the receiver. */
enum class ExchangePurpose {
    /** To tell what it holds, and to hear the same. */
    Inform,
    /** To be told of updates of the store from now on. */
    RequestUpdates,
    /** To have the receiver read the store. */
    RequestStoreRead,
};

} // namespace boragetrack::control::distribution
