/** Entry of the audit trail. */
#pragma once

#include "control/intent/ChangeRecord.h"
#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::store {

/** Describes a change, the revision that it produced and its outcome. */
struct AuditEntry
{
    intent::ChangeRecord change;
    core::identity::Revision revision;
    std::string outcome;
};

} // namespace boragetrack::control::store
