/** Asks all nodes: only the holder knows its token, and a node that is cut off knows an earlier
    holder. */
#include "operators/commands/UsageCommand.h"

#include <algorithm>

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

std::string describe(const json &report)
{
    const json &holder = report["holder"];
    return "last reported window " + report["reportedThrough"].dump() + ", "
           + report["windowsWaiting"].dump() + " waiting, holder "
           + (holder.is_object() ? holder["node"].get<std::string>() : std::string("unknown"));
}

} // namespace

void UsageCommand::addOptions(options::options_description & /*description*/) const {}

CommandResult UsageCommand::run(CommandContext &context,
                                const options::variables_map & /*arguments*/) const
{
    const auto reports = context.fleet().fetchUsage();
    if (!reports.ok())
        return {ExitCode::Failed,
                "no node could be queried: " + std::string(reports.status().message())};
    if (reports->empty())
        return {ExitCode::Failed, "no node sends usage reports"};
    CommandResult result;
    result.json["nodes"] = *reports;
    const auto holder = std::max_element(
            reports->begin(), reports->end(),
            [](const json &left, const json &right) { return left["token"] < right["token"]; });
    if ((*holder)["token"] == 0)
        result.text = "no node holds the duty\n";
    else
        result.text = (*holder)["node"].get<std::string>() + " holds the duty with token "
                      + (*holder)["token"].dump() + "\n";
    for (const json &report : *reports)
        result.text += "  " + report["node"].get<std::string>() + ": " + describe(report) + "\n";
    return result;
}

} // namespace boragetrack::operators::commands
