/** A peer whose control plane does not respond. */
#pragma once

#include "tests/unit/NoControl.h"

#include <vector>

namespace boragetrack::tests {

/** Leaves fetches without a response; NoControl lets them fail at once. */
class HeldControl : public NoControl
{
public:
    void handleFetchIntent(Revision /*have*/, Callback<IntentTransfer> callback) override
    {
        held_.push_back(std::move(callback));
    }

private:
    std::vector<Callback<IntentTransfer>> held_;
};

} // namespace boragetrack::tests
