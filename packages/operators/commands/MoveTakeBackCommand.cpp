/** Implements MoveTakeBackCommand. */
#include "operators/commands/MoveTakeBackCommand.h"

#include "control/moves/MoveRecording.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void MoveTakeBackCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("move", options::value<std::string>()->required(), "its id");
    add("reason", options::value<std::string>()->required(), "why, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force everywhere");
}

CommandResult MoveTakeBackCommand::run(CommandContext &context,
                                       const options::variables_map &arguments) const
{
    const std::string id = arguments["move"].as<std::string>();
    const std::string reason = arguments["reason"].as<std::string>();
    const control::moves::MoveRecord record{id, control::intent::MoveState::TakenBack,
                                            "by " + context.settings().operatorName + ": "
                                                    + reason};
    return context.applyChange(arguments, "move take-back " + id, reason, [&](json &document) {
        return control::moves::recordOutcome(document, record, core::timing::currentWallTime());
    });
}

} // namespace boragetrack::operators::commands
