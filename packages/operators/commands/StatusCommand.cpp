/** Reads the accepted revision from the platform and the revisions in force from the nodes. If the
    platform is unreachable, shows only the nodes. */
#include "operators/commands/StatusCommand.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

// A node that serves no intent reports why.
std::string describeWait(const json &status)
{
    const json wait = status.is_object() ? status.value("intentWait", json()) : json();
    if (!wait.is_object())
        return {};
    std::string text = " (" + wait.value("reason", std::string()) + " for "
                       + std::to_string(wait.value("ms", std::int64_t{0})) + " ms; holds "
                       + std::to_string(wait.value("held", std::uint64_t{0})) + ", minimum "
                       + std::to_string(wait.value("minimum", std::uint64_t{0}));
    const std::string reporter = wait.value("reportedBy", std::string());
    if (!reporter.empty())
        text += " reported by " + reporter;
    return text + "; " + std::to_string(wait.value("fetches", 0)) + " fetches, the last from "
           + wait.value("lastFetchFrom", std::string()) + ")";
}

} // namespace

void StatusCommand::addOptions(options::options_description & /*description*/) const {}

CommandResult StatusCommand::run(CommandContext &context,
                                 const options::variables_map & /*arguments*/) const
{
    const auto envelope = context.readIntent();
    const auto reports = context.fleet().fetchReports({}, {});
    if (!reports.ok())
        return {ExitCode::Failed,
                "no node could be queried: " + std::string(reports.status().message())};
    CommandResult result;
    core::identity::Revision acceptedRevision;
    if (envelope.ok())
        acceptedRevision = envelope->revision;
    else
        result.text
                = "the platform cannot be reached; nodes keep the last revision they received\n";
    result.json["accepted"] = acceptedRevision.number();
    result.json["nodes"] = json::array();
    std::size_t inForceCount = 0;
    std::string pendingNodes;
    for (const auto &report : *reports) {
        result.json["nodes"].push_back({{"node", report.node},
                                        {"dataCentre", report.dataCentre},
                                        {"reached", report.isReached},
                                        {"revision", report.revision.number()},
                                        {"status", report.status}});
        if (report.isReached && report.revision >= acceptedRevision)
            ++inForceCount;
        else
            pendingNodes += "\n  " + report.node + " in " + report.dataCentre
                            + (report.isReached ? " serves revision "
                                                          + std::to_string(report.revision.number())
                                                          + describeWait(report.status)
                                                : std::string(" does not respond"));
    }
    result.text += "accepted revision " + std::to_string(acceptedRevision.number())
                   + ", in force on " + std::to_string(inForceCount) + " of "
                   + std::to_string(reports->size()) + " nodes"
                   + (pendingNodes.empty() ? "" : "; not in force on:" + pendingNodes);
    return result;
}

} // namespace boragetrack::operators::commands
