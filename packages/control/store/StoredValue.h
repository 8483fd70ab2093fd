/** A value read from the platform's key-value service. */
#pragma once

#include "control/store/StoreVersion.h"

#include <string>

namespace boragetrack::control::store {

/** Joins a value to the version under which it is stored. */
struct StoredValue
{
    StoreVersion version;
    std::string value;
};

} // namespace boragetrack::control::store
