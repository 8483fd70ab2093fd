/** Compares calls with the leases and the writes at the store. */
#include "UsageSendRules.h"

#include "control/usage/UsageReporter.h"

namespace boragetrack::tests {

using control::usage::FencingToken;
using control::usage::UsageReport;
using control::usage::UsageReporter;

void UsageSendRules::sent(Milliseconds now, const Process &process, const UsageReport &report,
                          FencingToken token)
{
    const std::string what = " (token " + std::to_string(token.number()) + ", "
                             + process.first.value() + ", " + std::to_string(now.count()) + " ms)";
    const auto [sender, isNew] = senders_.try_emplace(token.number(), process);
    if (sender->second != process)
        faults.push_back("two processes sent one token" + what);
    if (lost_.contains(token.number()))
        faults.push_back("sent after the loss of the duty was known" + what);
    if (store_.leaseEndOf(token.number()) <= now)
        faults.push_back("sent after the end of the lease" + what);
    UsageReport recorded = report;
    recorded.token = token;
    if (!store_.wasWritten(UsageReporter::reportKey, recorded.toText()))
        faults.push_back("sent what was not recorded" + what);
    addToRuns(now, process.first);
}

void UsageSendRules::addToRuns(Milliseconds now, const core::identity::NodeId &node)
{
    if (!runs_.empty() && runs_.back().node == node) {
        runs_.back().last = now;
        return;
    }
    if (runs_.size() >= 2 && runs_[runs_.size() - 2].node == node
        && now - runs_[runs_.size() - 2].last < Milliseconds(3000))
        faults.push_back("holders alternate within three seconds at " + std::to_string(now.count())
                         + " ms");
    runs_.push_back(Run{node, now, now});
}

} // namespace boragetrack::tests
