/** Implements CheckCommand. */
#include "operators/commands/CheckCommand.h"

#include "control/intent/IntentParser.h"
#include "core/findings/TextFile.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void CheckCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("file", options::value<std::string>()->required(), "the intent file (JSON)");
}

CommandResult CheckCommand::run(CommandContext & /*context*/,
                                const options::variables_map &arguments) const
{
    const std::string path = arguments["file"].as<std::string>();
    const auto text = core::findings::readTextFile(path);
    if (!text)
        return {ExitCode::UsageError, "cannot open " + path};
    core::findings::FindingList findings(path);
    control::intent::parseIntent(*text, findings);
    CommandResult result;
    result.text = findings.isEmpty() ? path + " is valid" : findings.toString();
    result.code = findings.isEmpty() ? ExitCode::Success : ExitCode::Failed;
    result.json["findings"] = json::array();
    for (const auto &finding : findings.findings())
        result.json["findings"].push_back(
                {{"place", finding.location.toString()}, {"message", finding.message}});
    return result;
}

} // namespace boragetrack::operators::commands
