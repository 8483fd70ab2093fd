/** A move of a service from one version to another. */
#pragma once

#include "control/intent/MoveState.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"
#include "core/timing/WallTime.h"

#include <string>

namespace boragetrack::control::intent {

/** States what moves, by when and why, and what became of it. */
struct MoveIntent
{
    std::string id;
    core::identity::ServiceName service;
    /** Empty for every version but the new one. */
    core::identity::VersionName from;
    core::identity::VersionName to;
    core::timing::WallTime startAt{};
    core::timing::WallTime doneBy{};
    /** Whether startAt was agreed on; otherwise the times count from when the move was learned. */
    bool isStartKnown = true;
    /** Whether the old version ends as soon as the move is recorded as done, so that there is
        nothing to go back to. */
    bool isFinalOnceDone = false;
    MoveState state = MoveState::Running;
    std::string author;
    std::string reason;
    /** The evidence in plain words, once the move is done or taken back. */
    std::string outcome;
    /** When the move was done or taken back. */
    core::timing::WallTime endedAt{};

    /** Returns whether the move judges upstreams of a version. */
    bool involves(const core::identity::VersionName &version) const
    {
        return version == to || from.isEmpty() || version == from;
    }
};

} // namespace boragetrack::control::intent
