/** The gradual return of data centres. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "core/timing/MonotonicTime.h"

#include <map>
#include <set>

namespace boragetrack::traffic::routing {

/** Gives a data centre that comes back a share of work that grows with time, since everything in
    it is cold. */
class DataCentreRampUp
{
public:
    /** How long the return takes. */
    static constexpr std::chrono::milliseconds rampTime{8000};

    /** Takes the data centres of a newly served intent. */
    void update(const control::intent::IntentDocument &document, core::timing::MonotonicTime now);

    /** Returns the share of a data centre's usual work, 0 to 1; zero while it is out. */
    double weightOf(const core::identity::DataCentreId &name,
                    core::timing::MonotonicTime now) const;

    /** Returns whether any data centre is on its way back. */
    bool isRamping(core::timing::MonotonicTime now) const;

private:
    std::set<core::identity::DataCentreId> out_;
    std::map<core::identity::DataCentreId, core::timing::MonotonicTime> backSince_;
};

} // namespace boragetrack::traffic::routing
