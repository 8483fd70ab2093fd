/** The entry of one request in the usage counts. */
#pragma once

#include "core/timing/WallTime.h"
#include "traffic/calls/CallOutcome.h"
#include "traffic/calls/CallRequest.h"
#include "traffic/usage/UsageMeter.h"

#include <optional>

namespace boragetrack::traffic::usage {

/** Counts a request as begun, unless it is nested or belongs to no organisation, and takes the
    count back if the upstream did not run it. */
class CountedRequest
{
public:
    /** @param meter outlives this object; null if requests are not counted */
    CountedRequest(UsageMeter *meter, const calls::CallRequest &request, core::timing::WallTime now)
        : meter_(meter)
        , organisation_(request.organisation)
    {
        if (meter_ != nullptr && !organisation_.isEmpty() && !request.isNested)
            window_ = meter_->begin(organisation_, now);
    }

    /** Handles the end of the request. */
    void end(calls::CallOutcome outcome)
    {
        if (window_ && outcome == calls::CallOutcome::NotRun)
            meter_->withdraw(organisation_, *window_);
        window_.reset();
    }

private:
    UsageMeter *meter_;
    core::identity::OrganisationName organisation_;
    std::optional<UsageMeter::UsageWindow> window_;
};

} // namespace boragetrack::traffic::usage
