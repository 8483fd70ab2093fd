/** Results of a load simulation. */
#pragma once

#include "emulator/plan/KindPlan.h"
#include "emulator/results/OutcomeCounts.h"
#include "emulator/results/RequestOutcome.h"

#include <map>

namespace boragetrack::emulator::results {

/** Counts the outcomes of requests by kind, data centre and second of arrival, and the attempts. */
class LoadResults
{
public:
    /** Records the outcome of a request.
        @param dataCentre the data centre of its caller
        @param organisation the organisation of its caller; empty if there is none
        @param second the second of the simulation in which its first attempt was made, from 0 */
    void recordRequest(const plan::KindPlan &kind, const std::string &dataCentre,
                       const std::string &organisation, int second, RequestOutcome outcome);

    /** Records an attempt.
        @param isRemote whether the chosen upstream is in another data centre than the node
        @param isRetry whether it is a further attempt of its call, or belongs to a nested call of a
        retry */
    void recordAttempt(bool isRemote, bool isRetry);

    /** Records the size of a response from another data centre, in bytes. */
    void recordCrossDataCentreBytes(std::size_t bytes) { crossDataCentreBytes_ += bytes; }

    /** Returns the counts of all requests. */
    const OutcomeCounts &total() const { return total_; }
    const std::map<std::string, OutcomeCounts> &byKind() const { return byKind_; }
    const std::map<std::string, OutcomeCounts> &byDataCentre() const { return byDataCentre_; }
    /** Returns the counts by organisation; empty if requests belong to none. */
    const std::map<std::string, OutcomeCounts> &byOrganisation() const { return byOrganisation_; }
    const std::map<int, OutcomeCounts> &bySecond() const { return bySecond_; }

    /** Returns the lowest value share of two consecutive seconds; 1 if there are none. */
    double lowestTwoSecondShare() const;

    /** Returns the lowest value share of a kind, and of the callers of a data centre. */
    double lowestKindShare() const;
    double lowestDataCentreShare() const;

    /** Returns the number of all attempts, of those to other data centres, and of retries. */
    int attempts() const { return attempts_; }
    int remoteAttempts() const { return remoteAttempts_; }
    int retries() const { return retries_; }

    /** Returns the size of all responses from other data centres, in bytes. */
    std::size_t crossDataCentreBytes() const { return crossDataCentreBytes_; }

private:
    OutcomeCounts total_;
    std::map<std::string, OutcomeCounts> byKind_;
    std::map<std::string, OutcomeCounts> byDataCentre_;
    std::map<std::string, OutcomeCounts> byOrganisation_;
    std::map<int, OutcomeCounts> bySecond_;
    int attempts_ = 0;
    int remoteAttempts_ = 0;
    int retries_ = 0;
    std::size_t crossDataCentreBytes_ = 0;
};

} // namespace boragetrack::emulator::results
