/** The identity of a data centre. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Names one data centre. */
using DataCentreId = StrongString<struct DataCentreIdTag>;

} // namespace boragetrack::core::identity
