/** The audit trail, kept in the platform one day to a key. */
#pragma once

#include "control/store/AuditEntry.h"
#include "control/store/ConfigStore.h"

#include <vector>

namespace boragetrack::control::store {

/** Appends to and reads the audit trail; 510 changes a day fill some 150 KB of a 1 MB value. */
class AuditTrail
{
public:
    explicit AuditTrail(ConfigStore &store)
        : store_(store)
    {}

    /** Appends an entry once; an entry with the same change id is left as it is. */
    absl::Status append(const AuditEntry &entry);

    /** Returns the entries of the day that the time falls on, oldest first. */
    absl::StatusOr<std::vector<AuditEntry>> read(core::timing::WallTime day);

private:
    ConfigStore &store_;
};

} // namespace boragetrack::control::store
