/** Result of an edit of the intent. */
#pragma once

#include "control/store/EditOutcome.h"
#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::store {

/** Combines the outcome of an edit with details for the operator. */
struct EditResult
{
    EditOutcome outcome = EditOutcome::Refused;
    /** The accepted revision, or else the stored one as far as it is known. */
    core::identity::Revision revision;
    /** The findings, the changes of the revision that was stored first, or the platform's error. */
    std::string message;
};

} // namespace boragetrack::control::store
