/** Implements CreditAccount. */
#include "emulator/account/CreditAccount.h"

#include <algorithm>

namespace boragetrack::emulator::account {

namespace {

void add(CreditLine &line, const plan::KindPlan &kind, RequestEnd end)
{
    ++line.asked;
    line.owed += kind.worth;
    switch (end) {
    case RequestEnd::InTime:
        ++line.inTime;
        line.earned += kind.worth;
        break;
    case RequestEnd::Late:
        ++line.late;
        line.earned += kind.lateWorth;
        break;
    case RequestEnd::Refused:
        ++line.refused;
        break;
    case RequestEnd::Failed:
        ++line.failed;
        break;
    }
}

double leastShare(const std::map<std::string, CreditLine> &lines)
{
    double least = 1.0;
    for (const auto &[name, line] : lines)
        least = std::min(least, line.share());
    return least;
}

} // namespace

void CreditAccount::note(const plan::KindPlan &kind, const std::string &dataCentre, int second,
                         RequestEnd end)
{
    add(day_, kind, end);
    add(kinds_[kind.name], kind, end);
    add(dataCentres_[dataCentre], kind, end);
    add(seconds_[second], kind, end);
}

void CreditAccount::noteAttempt(bool isRemote, bool isRepeat)
{
    ++attempts_;
    remoteAttempts_ += isRemote ? 1 : 0;
    repeats_ += isRepeat ? 1 : 0;
}

double CreditAccount::worstSeconds() const
{
    double worst = 1.0;
    for (const auto &[second, line] : seconds_) {
        const auto next = seconds_.find(second + 1);
        if (next == seconds_.end())
            continue;
        const double owed = line.owed + next->second.owed;
        if (owed > 0.0)
            worst = std::min(worst, (line.earned + next->second.earned) / owed);
    }
    return worst;
}

double CreditAccount::worstKind() const
{
    return leastShare(kinds_);
}

double CreditAccount::worstDataCentre() const
{
    return leastShare(dataCentres_);
}

} // namespace boragetrack::emulator::account
