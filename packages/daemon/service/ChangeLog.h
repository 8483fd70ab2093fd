/** Log lines and counters that tell when changes came to this node. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "core/counters/LatencyCounters.h"

namespace boragetrack::daemon::service {

/** Logs each intent that comes into force, and warns of changes that came late or are missing. Used
    on the control thread only. */
class ChangeLog
{
public:
    /** A change that another node has held, or the store may have held, for longer than this is
       reported. */
    static constexpr std::chrono::milliseconds reportedDelay{1000};

    /** @param counters owns the histograms "change_late" and "change_since_proof" and outlives this
       object */
    explicit ChangeLog(core::counters::CounterRegistry &counters)
        : delays_(counters, "change_late")
        , possibleDelays_(counters, "change_since_proof")
    {}

    /** Handles that a newer intent is in force. */
    void intentInForce(const control::distribution::ControlPlane &plane,
                       core::timing::MonotonicTime now);

    /** Warns of a change that this node still lacks, and of a later intent that is in force on
        another one; called several times per second. */
    void update(const control::distribution::ControlPlane &plane, core::timing::MonotonicTime now);

private:
    void warnIfPossiblyLate(const control::distribution::ControlPlane &plane,
                            std::chrono::milliseconds sinceProof) const;
    void warnOfMissingChange(const control::distribution::ControlPlane &plane,
                             core::timing::MonotonicTime now);
    void warnOfLaterIntent(const control::distribution::ControlPlane &plane,
                           core::timing::MonotonicTime now);

    core::counters::LatencyCounters delays_;
    core::counters::LatencyCounters possibleDelays_;
    // The number of the intent that came into force last.
    core::identity::IntentNumber number_;
    // The later intent that was reported last.
    core::identity::IntentNumber reportedNumber_;
    // The missing revision that was reported last.
    core::identity::Revision reportedMissing_;
};

} // namespace boragetrack::daemon::service
