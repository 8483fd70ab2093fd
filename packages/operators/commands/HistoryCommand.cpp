/** Implements HistoryCommand. */
#include "operators/commands/HistoryCommand.h"

#include "control/store/AuditTrail.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

void HistoryCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("day", options::value<std::string>()->default_value(""),
        "the day, such as 2026-12-04; today without it");
}

CommandResult HistoryCommand::run(CommandContext &context,
                                  const options::variables_map &arguments) const
{
    const std::string day = arguments["day"].as<std::string>();
    const auto time = day.empty() ? core::timing::currentWallTime()
                                  : core::timing::parseWallTime(day + "T00:00:00Z")
                                            .value_or(core::timing::WallTime{});
    control::store::AuditTrail trail(context.store());
    const auto entries = trail.read(time);
    if (!entries.ok())
        return CommandContext::platformUnreachable(entries.status());
    CommandResult result;
    result.json["changes"] = json::array();
    for (const auto &entry : *entries) {
        json change = control::intent::toJson(entry.change);
        change["revision"] = entry.revision.number();
        change["outcome"] = entry.outcome;
        result.json["changes"].push_back(change);
        result.text += core::timing::formatWallTime(entry.change.time) + "  revision "
                       + std::to_string(entry.revision.number()) + "  " + entry.change.author + "  "
                       + entry.change.action + "  (" + entry.change.reason + ")  " + entry.outcome
                       + "\n";
    }
    if (result.text.empty())
        result.text = "no changes on that day";
    return result;
}

} // namespace boragetrack::operators::commands
