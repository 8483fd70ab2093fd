/** History of all changes to the intent, stored in the platform with one key per day. */
#pragma once

#include "control/store/AuditEntry.h"
#include "control/store/ConfigStore.h"

#include <vector>

namespace boragetrack::control::store {

/** Appends entries to the audit trail and reads them. A day with 510 changes takes about 150 KB of
    the 1 MB that a value may have. */
class AuditTrail
{
public:
    /** @param store must outlive the trail */
    explicit AuditTrail(ConfigStore &store)
        : store_(store)
    {}

    /** Appends an entry unless the trail already contains one with the same change id.
        @returns the error of the store */
    absl::Status append(const AuditEntry &entry);

    /** Returns the entries of the day that contains the given time, oldest first, or the error of
        the store. */
    absl::StatusOr<std::vector<AuditEntry>> read(core::timing::WallTime day);

private:
    ConfigStore &store_;
};

} // namespace boragetrack::control::store
