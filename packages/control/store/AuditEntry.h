/** One entry of the audit trail. */
#pragma once

#include "control/intent/ChangeRecord.h"
#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::store {

/** Tells who changed what, when and why, and what became of it. */
struct AuditEntry
{
    intent::ChangeRecord change;
    core::identity::Revision revision;
    std::string outcome;
};

} // namespace boragetrack::control::store
