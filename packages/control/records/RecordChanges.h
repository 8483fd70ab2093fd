/** Changes of the store. */
#pragma once

#include "control/records/StoreRecord.h"

#include <vector>

namespace boragetrack::control::records {

/** Holds all changes under a prefix between two revisions, in their order. */
struct RecordChanges
{
    std::vector<StoreRecord> changes;
    /** The revision up to which the changes are complete. */
    core::identity::Revision revision;
};

} // namespace boragetrack::control::records
