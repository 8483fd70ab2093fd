/** Identifier of a data centre. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies a data centre by its name in the settings. */
using DataCentreId = StrongString<struct DataCentreIdTag>;

} // namespace boragetrack::core::identity
