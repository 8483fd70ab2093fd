/** A model of the platform's receiver of usage reports. */
#pragma once

#include "control/usage/UsageReport.h"
#include "core/identity/NodeId.h"

#include <absl/status/status.h>
#include <map>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Executes calls at once: refuses tokens below the highest and keeps one report of each window. */
class UsageReceiverModel
{
public:
    /** Executes a call. */
    absl::Status execute(const control::usage::UsageReport &report,
                         control::usage::FencingToken token, std::chrono::milliseconds now)
    {
        if (token < highest)
            return absl::FailedPreconditionError("a higher token was seen");
        highest = token;
        const auto [it, isNew] = accepted.try_emplace(report.window.number(), report.counts);
        acceptedAt.try_emplace(report.window.number(), now);
        if (!isNew && it->second != report.counts)
            faults.push_back("two reports of window " + std::to_string(report.window.number())
                             + " with different counts");
        return absl::OkStatus();
    }

    control::usage::FencingToken highest;
    /** The counts of each window. */
    std::map<std::uint64_t, control::usage::UsageCounts> accepted;
    /** When each window was accepted first. */
    std::map<std::uint64_t, std::chrono::milliseconds> acceptedAt;
    /** What must not happen. */
    std::vector<std::string> faults;
};

} // namespace boragetrack::tests
