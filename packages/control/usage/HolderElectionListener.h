/** Receiver of the outcome of elections. */
#pragma once

#include "control/usage/FencingToken.h"

#include <string>

namespace boragetrack::control::usage {

/** Handles changes of the duty at this process. */
class HolderElectionListener
{
public:
    virtual ~HolderElectionListener() = default;

    /** Handles that this process holds the duty from now on. */
    virtual void dutyGained(FencingToken token) = 0;

    /** Handles that this process does not hold the duty any more. */
    virtual void dutyLost(FencingToken token, const std::string &reason) = 0;
};

} // namespace boragetrack::control::usage
