/** Implements DefaultShowCommand. */
#include "operators/commands/DefaultShowCommand.h"

#include "control/intent/IntentParser.h"
#include "control/intent/SettingCatalogue.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void DefaultShowCommand::addOptions(options::options_description & /*description*/) const {}

CommandResult DefaultShowCommand::run(CommandContext &context,
                                      const options::variables_map & /*arguments*/) const
{
    const auto envelope = context.readIntent();
    if (!envelope.ok())
        return CommandContext::platformUnreachable(envelope.status());
    core::findings::FindingList findings("intent");
    const auto document = control::intent::readIntent(envelope->document, findings);
    if (!document)
        return {ExitCode::Failed, findings.toString()};
    CommandResult result;
    for (const auto &entry : control::intent::settingCatalogue()) {
        const int value = entry.read(document->defaults);
        result.json[entry.name] = value;
        result.text += std::string(entry.name) + " = " + std::to_string(value) + "\n";
    }
    return result;
}

} // namespace boragetrack::operators::commands
