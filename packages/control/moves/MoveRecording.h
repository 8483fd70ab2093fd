/** Writes a move's outcome into an intent document. */
#pragma once

#include "control/moves/MoveRecord.h"
#include "core/timing/WallTime.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace boragetrack::control::moves {

/** Applies an outcome to a document. A running move may become done or taken back, a done one
    taken back; nothing else. @returns FailedPrecondition when the document already holds a state
    that the outcome may not replace */
absl::Status recordOutcome(nlohmann::json &document, const MoveRecord &record,
                           core::timing::WallTime now);

} // namespace boragetrack::control::moves
