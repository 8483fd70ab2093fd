/** Receiver of the progress of deliveries. */
#pragma once

#include "control/usage/UsageReport.h"

#include <string>

namespace boragetrack::control::usage {

/** Handles what became of reports. */
class ReportDeliveryListener
{
public:
    virtual ~ReportDeliveryListener() = default;

    /** Handles that the store holds a report under the token of this delivery. */
    virtual void reportRecorded(const UsageReport &report) = 0;

    /** Handles that the receiver accepted a report. */
    virtual void reportAccepted(const UsageReport &report) = 0;

    /** Handles the first failure in a series of attempts to send a report. */
    virtual void reportFailed(const UsageReport &report, const std::string &error) = 0;

    /** Handles that a later holder has been seen: nothing more may be sent with this token. */
    virtual void tokenSuperseded(const std::string &reason) = 0;

    /** Handles that the receiver has not responded for a while. */
    virtual void receiverSilent() = 0;
};

} // namespace boragetrack::control::usage
