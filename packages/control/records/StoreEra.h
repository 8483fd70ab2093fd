/** The era of the store, which rises when it comes back from a copy. */
#pragma once

#include "control/records/ReadConsistency.h"
#include "core/identity/Revision.h"

#include <optional>

namespace boragetrack::control::records {

/**
    Decides which era a response belongs to.

    A store that tells its era is believed. One that doesn't shows by a lower number than before
   that it came back: its responses are linearizable, so the number never falls within an era. Era
    numbers that several nodes infer are equal as long as each notices each return, or hears of it
    from another node.
*/
class StoreEra
{
public:
    /** Identifies a call and what was known when it was sent. */
    struct Call
    {
        /** Later calls have higher numbers. */
        std::uint64_t number = 0;
        std::uint64_t era = 0;
    };

    /** Returns the latest era that is known. */
    std::uint64_t current() const { return era_; }

    /** Records that a call is being sent. */
    Call beginCall() { return Call{++calls_, era_}; }

    /** Records an era that another node has told of. */
    void recordEra(std::uint64_t era);

    /** Records a response.
        @param named the revision that the store named; of era zero if it named no era
        @param consistency of the call; one that may be stale may have a lower number than before
        @returns the era of what the response holds; nothing if it is from an earlier era than the
                 current one, or may be */
    std::optional<std::uint64_t> recordResponse(const Call &call, core::identity::Revision named,
                                                ReadConsistency consistency);

private:
    void advanceTo(std::uint64_t era);

    std::uint64_t era_ = 0;
    std::uint64_t calls_ = 0;
    // Whether the store has told its era.
    bool isTold_ = false;
    // The highest number of the current era in a linearizable response, and how many calls had been
    // sent when it arrived.
    std::uint64_t highestNumber_ = 0;
    std::uint64_t highestAtCall_ = 0;
};

} // namespace boragetrack::control::records
