/** The result of a watch or a read of the store's changes. */
#pragma once

#include "control/records/ChangeOrigin.h"
#include "control/records/StoreRecord.h"

#include <vector>

namespace boragetrack::control::records {

/** Holds all changes under a prefix between two revisions, in order. */
struct RecordChanges
{
    std::vector<StoreRecord> changes;
    /** The revision up to which the changes are complete. In a response of RecordStore, the
       revision that the store named. */
    core::identity::Revision revision;
    /** The kind of call that returned them. */
    ChangeOrigin origin = ChangeOrigin::Watch;
};

} // namespace boragetrack::control::records
