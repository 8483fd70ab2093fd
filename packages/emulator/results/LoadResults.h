/** What callers got in an emulated day. */
#pragma once

#include "emulator/plan/KindPlan.h"
#include "emulator/results/OutcomeCounts.h"
#include "emulator/results/RequestOutcome.h"

#include <map>

namespace boragetrack::emulator::results {

/** Adds up the ends of all requests by kind, data centre and second of arrival. */
class LoadResults
{
public:
    /** Notes the end of a request. @param second the second of the day in which it was made first
     */
    void recordRequest(const plan::KindPlan &kind, const std::string &dataCentre, int second,
                       RequestOutcome outcome);

    /** Notes an attempt at an upstream. */
    void recordAttempt(bool isRemote, bool isRetry);

    /** Notes the bytes of a call that was answered from another data centre. */
    void recordCrossDataCentreBytes(std::size_t bytes) { crossDataCentreBytes_ += bytes; }

    /** Returns all requests together. */
    const OutcomeCounts &total() const { return total_; }
    const std::map<std::string, OutcomeCounts> &byKind() const { return byKind_; }
    const std::map<std::string, OutcomeCounts> &byDataCentre() const { return byDataCentre_; }
    const std::map<int, OutcomeCounts> &bySecond() const { return bySecond_; }

    /** Returns the share of the worth in the lowest pair of seconds. */
    double lowestTwoSecondShare() const;

    /** Returns the lowest share of a kind, and that of a data centre's callers. */
    double lowestKindShare() const;
    double lowestDataCentreShare() const;

    /** Returns attempts at upstreams, those in another data centre than the caller's node, and
        those after the first of a call. */
    int attempts() const { return attempts_; }
    int remoteAttempts() const { return remoteAttempts_; }
    int retries() const { return retries_; }

    /** Returns the bytes of answers from other data centres. */
    std::size_t crossDataCentreBytes() const { return crossDataCentreBytes_; }

private:
    OutcomeCounts total_;
    std::map<std::string, OutcomeCounts> byKind_;
    std::map<std::string, OutcomeCounts> byDataCentre_;
    std::map<int, OutcomeCounts> bySecond_;
    int attempts_ = 0;
    int remoteAttempts_ = 0;
    int retries_ = 0;
    std::size_t crossDataCentreBytes_ = 0;
};

} // namespace boragetrack::emulator::results
