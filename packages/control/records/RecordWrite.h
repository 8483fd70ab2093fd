/** One write of a transaction of the store. */
#pragma once

#include "control/records/Lease.h"
#include "core/identity/Revision.h"

#include <string>

namespace boragetrack::control::records {

/** Sets a key on the condition that its last change is the expected one. */
struct RecordWrite
{
    std::string key;
    std::string text;
    /** The revision of the key's last change; zero if the key must not exist. */
    core::identity::Revision expected;
    /** The lease that the key is attached to; id zero for none. */
    Lease lease;
};

} // namespace boragetrack::control::records
