/** The result of an edit of the intent. */
#pragma once

#include "control/store/EditOutcome.h"
#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::store {

/** Tells what became of an edit and why. */
struct EditResult
{
    EditOutcome outcome = EditOutcome::Refused;
    /** The accepted revision, or the one that stands instead. */
    core::identity::Revision revision;
    /** Findings, the difference to the winner, or the platform's error. */
    std::string message;
};

} // namespace boragetrack::control::store
