/** Reports the errors of a file with their locations before it contacts the platform. */
#include "operators/commands/ApplyCommand.h"

#include "control/intent/IntentParser.h"
#include "core/findings/TextFile.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void ApplyCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("file", options::value<std::string>()->required(), "intent file (JSON)");
    add("reason", options::value<std::string>()->required(), "reason, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force on all nodes");
}

CommandResult ApplyCommand::run(CommandContext &context,
                                const options::variables_map &arguments) const
{
    const std::string path = arguments["file"].as<std::string>();
    const auto text = core::findings::readTextFile(path);
    if (!text)
        return {ExitCode::UsageError, "cannot open " + path};
    core::findings::FindingList findings(path);
    if (!control::intent::parseIntent(*text, findings))
        return {ExitCode::Failed, findings.toString()};
    const json document = json::parse(*text);
    return context.applyChange(arguments, "apply " + path, arguments["reason"].as<std::string>(),
                               [&](json &stored) {
                                   stored = document;
                                   return absl::OkStatus();
                               });
}

} // namespace boragetrack::operators::commands
