/** Changes the move's state, outcome and end time, and the version of its service. */
#include "control/moves/MoveRecording.h"

namespace boragetrack::control::moves {

using intent::MoveState;
using nlohmann::json;

namespace {

constexpr const char *runningName = "running";
constexpr const char *doneName = "done";
constexpr const char *takenBackName = "takenBack";

json *findElement(json &list, const char *key, const std::string &value)
{
    for (json &element : list) {
        if (element.value(key, "") == value)
            return &element;
    }
    return nullptr;
}

bool isAllowed(const std::string &from, MoveState to)
{
    if (to == MoveState::Done)
        return from == runningName;
    return from == runningName || from == doneName;
}

} // namespace

absl::Status recordOutcome(json &document, const MoveRecord &record, core::timing::WallTime now)
{
    json *move = findElement(document["moves"], "id", record.moveId);
    if (move == nullptr)
        return absl::NotFoundError("no move '" + record.moveId + "'");
    const std::string state = (*move)["state"];
    if (!isAllowed(state, record.state))
        return absl::FailedPreconditionError("move '" + record.moveId + "' is already " + state);
    const bool isDone = record.state == MoveState::Done;
    (*move)["state"] = isDone ? doneName : takenBackName;
    (*move)["outcome"] = record.evidence;
    (*move)["endedAt"] = core::timing::formatWallTime(now);
    json *service = findElement(document["services"], "name", (*move)["service"]);
    if (service != nullptr)
        (*service)["version"] = (*move)[isDone ? "to" : "from"];
    return absl::OkStatus();
}

} // namespace boragetrack::control::moves
