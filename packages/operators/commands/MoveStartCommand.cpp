/** Checks the time and the members, and adds the move to the document. Removes old moves that have
    ended, to limit the size of the document. */
#include "operators/commands/MoveStartCommand.h"

#include "operators/commands/Arguments.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds minimumMoveDuration{15};
// From this number of moves on, the oldest ended ones are removed from the intent; the audit trail
// contains all moves.
constexpr std::size_t maximumStoredMoves = 40;

bool hasServingUpstream(const json &members, const std::string &service, const std::string &version)
{
    for (const json &member : members) {
        if (member["service"] == service && member["version"] == version
            && member["upstream"] == "serving" && member["state"] == "alive")
            return true;
    }
    return false;
}

absl::Status addMove(json &document, const json &move)
{
    for (const json &service : document["services"]) {
        if (service["name"] == move["service"] && service["version"] != move["from"])
            return absl::FailedPreconditionError("the service is at version "
                                                 + service["version"].get<std::string>() + ", not "
                                                 + move["from"].get<std::string>());
    }
    json &moves = document["moves"];
    for (std::size_t i = 0; i < moves.size() && moves.size() >= maximumStoredMoves;) {
        if (moves[i]["state"] == "running")
            ++i;
        else
            moves.erase(i);
    }
    moves.push_back(move);
    return absl::OkStatus();
}

} // namespace

void MoveStartCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("service", options::value<std::string>()->required(), "name of the service");
    add("from", options::value<std::string>()->required(), "current version");
    add("to", options::value<std::string>()->required(), "new version");
    add("by", options::value<std::string>()->required(),
        "when the move must be done, such as 2026-12-24T18:00:00Z or +600s");
    add("reason", options::value<std::string>()->required(), "reason, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force on all nodes");
}

CommandResult MoveStartCommand::run(CommandContext &context,
                                    const options::variables_map &arguments) const
{
    const auto now = core::timing::currentWallTime();
    const auto doneBy = parseTimeArgument(arguments["by"].as<std::string>());
    if (!doneBy)
        return {ExitCode::UsageError, "--by must be an RFC 3339 time or +SECONDSs"};
    if (*doneBy - now < minimumMoveDuration)
        return {ExitCode::Failed,
                "--by is too soon: warm-up and the collection of evidence take at least "
                        + std::to_string(minimumMoveDuration.count()) + " s"};
    const std::string service = arguments["service"].as<std::string>();
    const std::string from = arguments["from"].as<std::string>();
    const std::string to = arguments["to"].as<std::string>();
    const auto members = context.fleet().fetchMembers();
    if (!members.ok())
        return {ExitCode::Failed,
                "no node could be queried: " + std::string(members.status().message())};
    if (!hasServingUpstream(*members, service, to))
        return {ExitCode::Failed, "no upstream of " + service + " " + to + " is serving"};
    const std::string id
            = service + "-" + to + "-" + std::to_string(now.time_since_epoch().count());
    const std::string reason = arguments["reason"].as<std::string>();
    const json move{{"id", id},
                    {"service", service},
                    {"from", from},
                    {"to", to},
                    {"startAt", core::timing::formatWallTime(now)},
                    {"doneBy", core::timing::formatWallTime(*doneBy)},
                    {"state", "running"},
                    {"author", context.settings().operatorName},
                    {"reason", reason}};
    CommandResult result
            = context.applyChange(arguments, "move start " + service + " " + from + " to " + to,
                                  reason, [&](json &document) { return addMove(document, move); });
    result.json["move"] = id;
    if (result.code == ExitCode::Success)
        result.text += "\nmove " + id + " must be done by " + core::timing::formatWallTime(*doneBy);
    return result;
}

} // namespace boragetrack::operators::commands
