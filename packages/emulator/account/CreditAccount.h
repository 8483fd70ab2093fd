/** What callers got in an emulated day. */
#pragma once

#include "emulator/account/CreditLine.h"
#include "emulator/account/RequestEnd.h"
#include "emulator/plan/KindPlan.h"

#include <map>

namespace boragetrack::emulator::account {

/** Adds up the ends of all requests by kind, data centre and second of arrival. */
class CreditAccount
{
public:
    /** Notes the end of a request. @param second the second of the day in which it was made first
     */
    void note(const plan::KindPlan &kind, const std::string &dataCentre, int second,
              RequestEnd end);

    /** Notes an attempt at an upstream. */
    void noteAttempt(bool isRemote, bool isRepeat);

    /** Notes the bytes of a call that was answered from another data centre. */
    void noteCrossing(std::size_t bytes) { crossedBytes_ += bytes; }

    /** Returns all requests together. */
    const CreditLine &day() const { return day_; }
    const std::map<std::string, CreditLine> &kinds() const { return kinds_; }
    const std::map<std::string, CreditLine> &dataCentres() const { return dataCentres_; }
    const std::map<int, CreditLine> &seconds() const { return seconds_; }

    /** Returns the share of the worth in the worst pair of seconds. */
    double worstSeconds() const;

    /** Returns the least share of a kind, and that of a data centre's callers. */
    double worstKind() const;
    double worstDataCentre() const;

    /** Returns attempts at upstreams, those in another data centre than the caller's node, and
        those after the first of a call. */
    int attempts() const { return attempts_; }
    int remoteAttempts() const { return remoteAttempts_; }
    int repeats() const { return repeats_; }

    /** Returns the bytes of answers from other data centres. */
    std::size_t crossedBytes() const { return crossedBytes_; }

private:
    CreditLine day_;
    std::map<std::string, CreditLine> kinds_;
    std::map<std::string, CreditLine> dataCentres_;
    std::map<int, CreditLine> seconds_;
    int attempts_ = 0;
    int remoteAttempts_ = 0;
    int repeats_ = 0;
    std::size_t crossedBytes_ = 0;
};

} // namespace boragetrack::emulator::account
