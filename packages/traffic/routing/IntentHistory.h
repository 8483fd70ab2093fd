/** The intents that were in force on a node until a moment ago. */
#pragma once

#include "control/intent/IntentSnapshot.h"
#include "core/timing/MonotonicTime.h"

#include <chrono>
#include <memory>
#include <vector>

namespace boragetrack::traffic::routing {

/** Remembers since when the latest intents are in force, as far as it takes to tell which one all
    nodes must have by now and which routes a change has touched recently. Immutable once published.
 */
class IntentHistory
{
public:
    /** The time after which an intent counts as settled. Nodes usually differ for less; a change
        must be in force everywhere two seconds after its acknowledgement, which precedes this. */
    static constexpr std::chrono::milliseconds settleTime{1500};

    /** The time for which an intent is remembered after it was replaced. */
    static constexpr std::chrono::milliseconds memoryTime{5000};

    /** Returns this history with an intent that is in force from now on. */
    IntentHistory with(std::shared_ptr<const control::intent::IntentSnapshot> intent,
                       core::timing::MonotonicTime now) const;

    /** Returns the latest intent that has settled, or null if there is none. */
    const control::intent::IntentSnapshot *settledAt(core::timing::MonotonicTime now) const;

    /** Returns the intents that were replaced within memoryTime before a time, earliest first. */
    std::vector<const control::intent::IntentSnapshot *>
    replacedAt(core::timing::MonotonicTime now) const;

private:
    struct Entry
    {
        std::shared_ptr<const control::intent::IntentSnapshot> intent;
        core::timing::MonotonicTime since;
    };

    const control::intent::IntentSnapshot *latestOlderThan(std::chrono::milliseconds age,
                                                           core::timing::MonotonicTime now) const;

    // Invariant: in the order of the times. Of those that were older than memoryTime when the last
    // one was added, the latest only.
    std::vector<Entry> entries_;
};

} // namespace boragetrack::traffic::routing
