/** Adds each outcome to the total and to the counts of its kind, data centre and second. */
#include "emulator/results/LoadResults.h"

#include <algorithm>

namespace boragetrack::emulator::results {

namespace {

void add(OutcomeCounts &counts, const plan::KindPlan &kind, RequestOutcome outcome)
{
    ++counts.requests;
    counts.offeredValue += kind.value;
    switch (outcome) {
    case RequestOutcome::InTime:
        ++counts.inTime;
        counts.deliveredValue += kind.value;
        break;
    case RequestOutcome::Late:
        ++counts.late;
        counts.deliveredValue += kind.lateValue;
        break;
    case RequestOutcome::Refused:
        ++counts.refused;
        break;
    case RequestOutcome::Failed:
        ++counts.failed;
        break;
    }
}

double lowestShare(const std::map<std::string, OutcomeCounts> &countsByName)
{
    double lowest = 1.0;
    for (const auto &[name, counts] : countsByName)
        lowest = std::min(lowest, counts.valueShare());
    return lowest;
}

} // namespace

void LoadResults::recordRequest(const plan::KindPlan &kind, const std::string &dataCentre,
                                const std::string &organisation, int second, RequestOutcome outcome)
{
    add(total_, kind, outcome);
    add(byKind_[kind.name], kind, outcome);
    add(byDataCentre_[dataCentre], kind, outcome);
    if (!organisation.empty())
        add(byOrganisation_[organisation], kind, outcome);
    add(bySecond_[second], kind, outcome);
}

void LoadResults::recordAttempt(bool isRemote, bool isRetry)
{
    ++attempts_;
    remoteAttempts_ += isRemote ? 1 : 0;
    retries_ += isRetry ? 1 : 0;
}

double LoadResults::lowestTwoSecondShare() const
{
    double lowest = 1.0;
    for (const auto &[second, counts] : bySecond_) {
        const auto next = bySecond_.find(second + 1);
        if (next == bySecond_.end())
            continue;
        const double offeredValue = counts.offeredValue + next->second.offeredValue;
        if (offeredValue > 0.0)
            lowest = std::min(lowest,
                              (counts.deliveredValue + next->second.deliveredValue) / offeredValue);
    }
    return lowest;
}

double LoadResults::lowestKindShare() const
{
    return lowestShare(byKind_);
}

double LoadResults::lowestDataCentreShare() const
{
    return lowestShare(byDataCentre_);
}

} // namespace boragetrack::emulator::results
