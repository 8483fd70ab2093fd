/** Validation rules that involve several elements of an intent document. */
#pragma once

#include "control/intent/IntentDocument.h"
#include "core/findings/FindingList.h"

namespace boragetrack::control::intent {

/** Adds a finding for each duplicate name, dangling reference, second running move, organisation
    without a name, and key that is listed twice. No finding contains a key or its digest. */
void checkReferences(const IntentDocument &document, core::findings::FindingList &findings);

} // namespace boragetrack::control::intent
