/** One write of a transaction. */
#pragma once

#include "control/records/Lease.h"
#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::records {

/** Sets a key, provided that its last change is the expected one. */
struct RecordWrite
{
    std::string key;
    std::string text;
    /** The key's last change; revision zero when it must not exist. */
    core::identity::Revision expected;
    /** The lease that the key lives under; id zero for none. */
    Lease lease;
};

} // namespace boragetrack::control::records
