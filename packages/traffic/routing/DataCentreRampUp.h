/** The gradual return of traffic to data centres that were out. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "core/timing/MonotonicTime.h"

#include <map>
#include <set>

namespace boragetrack::traffic::routing {

/** Computes the weight of each data centre, which grows with time after a return because all its
    upstreams are cold. */
class DataCentreRampUp
{
public:
    /** The time from the return of a data centre to its full weight. */
    static constexpr std::chrono::milliseconds rampTime{8000};

    /** Updates the data centres from an intent that came into force. */
    void update(const control::intent::IntentDocument &document, core::timing::MonotonicTime now);

    /** Returns the fraction of its usual traffic that a data centre gets, 0 to 1; zero while it is
        out. */
    double weightOf(const core::identity::DataCentreId &name,
                    core::timing::MonotonicTime now) const;

    /** Returns whether any data centre is ramping up, so that weights still change. */
    bool isRamping(core::timing::MonotonicTime now) const;

private:
    std::set<core::identity::DataCentreId> out_;
    // Invariant: holds only data centres that were out before and are not out now.
    std::map<core::identity::DataCentreId, core::timing::MonotonicTime> backSince_;
};

} // namespace boragetrack::traffic::routing
