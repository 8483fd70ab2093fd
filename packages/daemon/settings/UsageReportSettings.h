/** Settings of usage reports. */
#pragma once

#include "control/usage/UsageSettings.h"
#include "core/identity/NetworkAddress.h"

namespace boragetrack::daemon::settings {

/** Where usage reports are sent, and when. */
struct UsageReportSettings
{
    /** The platform's usage interface. */
    core::identity::NetworkAddress receiver;
    control::usage::UsageSettings timing;

    friend bool operator==(const UsageReportSettings &, const UsageReportSettings &) = default;
};

} // namespace boragetrack::daemon::settings
