/** Writes the states of moves to the store, one at a time. */
#include "core/events/EventLog.h"
#include "daemon/service/RecordSource.h"

#include <algorithm>

namespace boragetrack::daemon::service {

using control::moves::MoveRecord;
using core::events::EventCode;
using core::identity::Revision;

namespace {

constexpr std::chrono::milliseconds recordTimeout{1500};

const char *nameOf(control::intent::MoveState state)
{
    switch (state) {
    case control::intent::MoveState::Done:
        return "done";
    case control::intent::MoveState::TakenBack:
        return "taken back";
    case control::intent::MoveState::Running:
        break;
    }
    return "running";
}

} // namespace

void RecordSource::recordMove(const MoveRecord &record)
{
    const auto &moves = plane_->snapshot()->document().moves;
    const auto move = std::find_if(moves.begin(), moves.end(), [&](const auto &candidate) {
        return candidate.id == record.moveId;
    });
    if (isRecording_ || move == moves.end())
        return;
    isRecording_ = true;
    dependencies_.store.commit(
            dependencies_.moveWriter->writesFor(*move, record, replica_->table()), recordTimeout,
            [this, record](const absl::StatusOr<Revision> &response) {
                handleRecordResponse(record, response);
            });
}

void RecordSource::handleRecordResponse(const MoveRecord &record,
                                        const absl::StatusOr<Revision> &response)
{
    isRecording_ = false;
    // A conflict means that another node was first; the watch delivers its record.
    if (absl::IsAborted(response.status()))
        return;
    core::events::logEvent(
            response.ok() ? EventCode::MoveRecorded : EventCode::MoveRecordFailed,
            response.ok() ? "move recorded" : "move not recorded, will be retried",
            {{"move", record.moveId},
             {"state", nameOf(record.state)},
             {"evidence", record.evidence},
             {"error", response.ok() ? "" : std::string(response.status().message())}});
}

} // namespace boragetrack::daemon::service
