/** Result of reading from the platform's key-value service. */
#pragma once

#include "control/store/StoreVersion.h"

#include <string>

namespace boragetrack::control::store {

/** Combines a value with its version. */
struct StoredValue
{
    StoreVersion version;
    std::string value;
};

} // namespace boragetrack::control::store
