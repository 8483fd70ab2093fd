/** Key by which duplicates of a request are recognised. */
#pragma once

#include "core/identity/StrongString.h"

namespace boragetrack::core::identity {

/** Identifies all duplicates of one non-idempotent request; empty if the caller sent none. */
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

} // namespace boragetrack::core::identity
