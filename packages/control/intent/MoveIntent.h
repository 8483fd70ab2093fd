/** A move's entry in the intent. */
#pragma once

#include "control/intent/MoveState.h"
#include "core/identity/ServiceName.h"
#include "core/identity/VersionName.h"
#include "core/timing/WallTime.h"

#include <string>

namespace boragetrack::control::intent {

/** Describes a move of a service from one version to another, and its outcome. */
struct MoveIntent
{
    std::string id;
    core::identity::ServiceName service;
    /** The old version; if empty, every version except the new one. */
    core::identity::VersionName from;
    core::identity::VersionName to;
    core::timing::WallTime startAt{};
    core::timing::WallTime doneBy{};
    /** Whether startAt is recorded in the store; otherwise each node counts the times from when it
        received the move. */
    bool isStartKnown = true;
    /** Whether the old version is stopped as soon as the move is recorded as done, so that the
        move can not be taken back afterwards. */
    bool isFinalOnceDone = false;
    MoveState state = MoveState::Running;
    std::string author;
    std::string reason;
    /** A description of the evidence, once the move is done or taken back. */
    std::string outcome;
    /** When the move was done or taken back. */
    core::timing::WallTime endedAt{};

    /** Returns whether the outcomes of calls to a version are evidence about the move. */
    bool involves(const core::identity::VersionName &version) const
    {
        return version == to || from.isEmpty() || version == from;
    }
};

} // namespace boragetrack::control::intent
