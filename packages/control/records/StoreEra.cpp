/** A response to a call that was sent before the era changed is not used unless it tells its era:
   the store may have given it before or after. */
#include "control/records/StoreEra.h"

namespace boragetrack::control::records {

using core::identity::Revision;

void StoreEra::recordEra(std::uint64_t era)
{
    if (era > era_)
        advanceTo(era);
}

std::optional<std::uint64_t> StoreEra::recordResponse(const Call &call, Revision named,
                                                      ReadConsistency consistency)
{
    const std::uint64_t number = named.numberInEra();
    if (named.era() > 0) {
        isTold_ = true;
        if (named.era() < era_)
            return std::nullopt;
        recordEra(named.era());
        return era_;
    }
    if (call.era != era_)
        return std::nullopt;
    if (isTold_ || consistency == ReadConsistency::MayBeStale)
        return era_;
    // Only a call that was sent after the higher number had arrived was certainly served later.
    if (number < highestNumber_ && call.number > highestAtCall_ && era_ < Revision::maximumEra)
        advanceTo(era_ + 1);
    if (number >= highestNumber_) {
        highestNumber_ = number;
        highestAtCall_ = calls_;
    }
    return era_;
}

void StoreEra::advanceTo(std::uint64_t era)
{
    era_ = era;
    highestNumber_ = 0;
    highestAtCall_ = calls_;
}

} // namespace boragetrack::control::records
