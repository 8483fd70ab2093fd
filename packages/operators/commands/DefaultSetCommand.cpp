/** Implements DefaultSetCommand. */
#include "operators/commands/DefaultSetCommand.h"

#include "operators/commands/Arguments.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void DefaultSetCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("setting", options::value<std::string>()->required(), "name");
    add("value", options::value<std::string>()->required(), "new value");
    add("reason", options::value<std::string>()->required(), "why, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force everywhere");
}

CommandResult DefaultSetCommand::run(CommandContext &context,
                                     const options::variables_map &arguments) const
{
    const std::string setting = arguments["setting"].as<std::string>();
    const auto value = parseInteger(arguments["value"].as<std::string>());
    if (!value)
        return {ExitCode::UsageError, "the value must be a whole number"};
    return context.applyChange(arguments, "default set " + setting + " " + std::to_string(*value),
                               arguments["reason"].as<std::string>(), [&](json &document) {
                                   document["defaults"][setting] = *value;
                                   return absl::OkStatus();
                               });
}

} // namespace boragetrack::operators::commands
