/** The key under which a caller repeats a request. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Marks all repeats of one non-idempotent request; empty when the caller gave none. */
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

} // namespace boragetrack::core::identity
