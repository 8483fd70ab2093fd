/** Edits an intent document to contain the outcome of a move. */
#pragma once

#include "control/moves/MoveRecord.h"
#include "core/timing/WallTime.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace boragetrack::control::moves {

/** Writes an outcome into a document. Valid transitions are from running to done, and from running
    or done to taken back.
    @param record with the state Done or TakenBack
    @param now becomes the end time of the move
    @returns NotFound when the document does not contain the move; FailedPrecondition when its state
    does not permit the transition */
absl::Status recordOutcome(nlohmann::json &document, const MoveRecord &record,
                           core::timing::WallTime now);

} // namespace boragetrack::control::moves
