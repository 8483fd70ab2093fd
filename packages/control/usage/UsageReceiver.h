/** The interface to the platform's service that receives usage reports. */
#pragma once

#include "control/usage/UsageReport.h"
#include "core/identity/NodeId.h"

#include <absl/status/status.h>
#include <chrono>
#include <functional>

namespace boragetrack::control::usage {

/**
    Sends reports without blocking; callbacks run on the control thread.

    Errors: FailedPrecondition if a higher fencing token was seen, ResourceExhausted if the call was
    refused for its rate, Unavailable if nothing was executed, Unknown if there was no response. A
    call without a response may still be executed later.
*/
class UsageReceiver
{
public:
    using Callback = std::function<void(const absl::Status &)>;

    virtual ~UsageReceiver() = default;

    /** Sends a report. @param token of the holder that sends, which need not be the one that
        recorded the report
        @param sendBefore the report is not sent later, as the holder's lease may have expired;
        checked on the thread that sends, against the clock of LeaseClock */
    virtual void send(const UsageReport &report, const core::identity::NodeId &holder,
                      FencingToken token, std::chrono::nanoseconds sendBefore,
                      std::chrono::milliseconds timeout, Callback callback)
            = 0;

    /** Makes no further call with a token, as the duty was lost. Also holds for reports that were
        handed over and are not sent yet: on return nothing more is sent with the token. */
    virtual void revoke(FencingToken token) = 0;
};

} // namespace boragetrack::control::usage
