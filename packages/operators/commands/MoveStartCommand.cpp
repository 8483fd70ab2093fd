/** Implements MoveStartCommand. */
#include "operators/commands/MoveStartCommand.h"

#include "operators/commands/Arguments.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds minimumMoveDuration{15};
// Ended moves that stay in the intent; the audit trail keeps all of them.
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
    add("service", options::value<std::string>()->required(), "its name");
    add("from", options::value<std::string>()->required(), "the present version");
    add("to", options::value<std::string>()->required(), "the new version");
    add("by", options::value<std::string>()->required(),
        "when it must be done, such as 2026-12-24T18:00:00Z or +600s");
    add("reason", options::value<std::string>()->required(), "why, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force everywhere");
}

CommandResult MoveStartCommand::run(CommandContext &context,
                                    const options::variables_map &arguments) const
{
    const auto now = core::timing::currentWallTime();
    const auto doneBy = parseTimeArgument(arguments["by"].as<std::string>());
    if (!doneBy)
        return {ExitCode::UsageError, "--by takes a time or +SECONDSs"};
    if (*doneBy - now < minimumMoveDuration)
        return {ExitCode::Failed, "too little time for warm-up and evidence: a move takes at least "
                                          + std::to_string(minimumMoveDuration.count()) + " s"};
    const std::string service = arguments["service"].as<std::string>();
    const std::string from = arguments["from"].as<std::string>();
    const std::string to = arguments["to"].as<std::string>();
    const auto members = context.fleet().fetchMembers();
    if (!members.ok())
        return {ExitCode::Failed,
                "no node could be asked: " + std::string(members.status().message())};
    if (!hasServingUpstream(*members, service, to))
        return {ExitCode::Failed, "no upstream of " + service + " " + to + " serves"};
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
        result.text
                += "\nmove " + id + " is to be done by " + core::timing::formatWallTime(*doneBy);
    return result;
}

} // namespace boragetrack::operators::commands
