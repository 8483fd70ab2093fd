/** Comparison of the intent in force with those of other nodes. */
#pragma once

#include "control/distribution/LaterIntent.h"

#include <chrono>
#include <optional>
#include <vector>

namespace boragetrack::control::distribution {

/**
    Compares the numbers of the intents that nodes have in force, whatever revisions they hold.

    A node that holds a revision without its content, or that does not decide by what it holds,
    seems up to date by the revisions alone. Numbers of zero say nothing and are ignored.
*/
class IntentComparison
{
public:
    /** The time after which a node should have a later intent in force, too. */
    static constexpr std::chrono::milliseconds toleratedDelay{500};
    /** The most later intents that are remembered. */
    static constexpr std::size_t maximumLaterIntents = 16;

    /** Records the number of the intent in force on this node. */
    void recordInForce(core::identity::IntentNumber number);

    /** Records the number of the intent in force on another node. */
    void recordReport(const core::identity::NodeId &node, core::identity::IntentNumber number,
                      core::timing::MonotonicTime now);

    /** Returns the latest intent that has been missing here for toleratedDelay or longer; nothing
        if there is none. */
    std::optional<LaterIntent> overdueAt(core::timing::MonotonicTime now) const;

private:
    core::identity::IntentNumber inForce_;
    // Invariant: different numbers above inForce_; at most maximumLaterIntents.
    std::vector<LaterIntent> later_;
};

} // namespace boragetrack::control::distribution
