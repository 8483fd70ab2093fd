/** Reads the accepted revision from the platform and the revisions in force from the nodes. If the
    platform is unreachable, shows only the nodes. */
#include "operators/commands/StatusCommand.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

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
                                        {"revision", report.revision.number()}});
        if (report.isReached && report.revision >= acceptedRevision)
            ++inForceCount;
        else
            pendingNodes += "\n  " + report.node + " in " + report.dataCentre
                            + (report.isReached ? " serves revision "
                                                          + std::to_string(report.revision.number())
                                                : std::string(" does not respond"));
    }
    result.text += "accepted revision " + std::to_string(acceptedRevision.number())
                   + ", in force on " + std::to_string(inForceCount) + " of "
                   + std::to_string(reports->size()) + " nodes"
                   + (pendingNodes.empty() ? "" : "; not in force on:" + pendingNodes);
    return result;
}

} // namespace boragetrack::operators::commands
