/** Implements ExplainCommand. */
#include "operators/commands/ExplainCommand.h"

#include "control/intent/IntentParser.h"
#include "control/intent/SettingCatalogue.h"
#include "control/intent/SettingResolver.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void ExplainCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("route", options::value<std::string>()->required(), "its name");
    add("setting", options::value<std::string>()->required(), "name");
    add("datacentre", options::value<std::string>()->default_value(""),
        "as nodes of this data centre see it");
}

CommandResult ExplainCommand::run(CommandContext &context,
                                  const options::variables_map &arguments) const
{
    const auto envelope = context.readIntent();
    if (!envelope.ok())
        return CommandContext::platformUnreachable(envelope.status());
    core::findings::FindingList findings("intent");
    const auto document = control::intent::readIntent(envelope->document, findings);
    if (!document)
        return {ExitCode::Failed, findings.toString()};
    const std::string setting = arguments["setting"].as<std::string>();
    if (control::intent::findSetting(setting) == nullptr)
        return {ExitCode::Failed, "unknown setting '" + setting + "'"};
    const control::intent::SettingResolver resolver(
            *document, core::identity::DataCentreId(arguments["datacentre"].as<std::string>()),
            core::timing::currentWallTime());
    for (const auto &route : document->routes) {
        if (route.name.value() != arguments["route"].as<std::string>())
            continue;
        const auto resolution = resolver.explain(route, setting);
        CommandResult result;
        result.json = {{"value", resolution.value},
                       {"origin", resolution.origin},
                       {"reason", resolution.reason},
                       {"overridden", resolution.overridden}};
        result.text
                = setting + " = " + std::to_string(resolution.value) + " from " + resolution.origin;
        if (!resolution.reason.empty())
            result.text += " (" + resolution.reason + ")";
        if (!resolution.overridden.empty())
            result.text += ", goes before " + resolution.overridden;
        return result;
    }
    return {ExitCode::Failed, "unknown route"};
}

} // namespace boragetrack::operators::commands
