/** Implements MoveStatusCommand. */
#include "operators/commands/MoveStatusCommand.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void MoveStatusCommand::addOptions(options::options_description & /*description*/) const {}

CommandResult MoveStatusCommand::run(CommandContext &context,
                                     const options::variables_map & /*arguments*/) const
{
    const auto moves = context.fleet().fetchMoves();
    if (!moves.ok())
        return {ExitCode::Failed,
                "no node could be asked: " + std::string(moves.status().message())};
    CommandResult result;
    result.json["moves"] = *moves;
    for (const json &move : *moves) {
        result.text += move["id"].get<std::string>() + ": " + move["service"].get<std::string>()
                       + " " + move["from"].get<std::string>() + " to "
                       + move["to"].get<std::string>() + ", " + move["state"].get<std::string>();
        const std::string outcome = move["outcome"];
        result.text += outcome.empty() ? ", share " + move.value("sharePercent", json()).dump()
                                       : " (" + outcome + ")";
        result.text += "\n";
    }
    if (result.text.empty())
        result.text = "no moves";
    return result;
}

} // namespace boragetrack::operators::commands
