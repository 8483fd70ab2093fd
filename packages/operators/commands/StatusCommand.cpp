/** Implements StatusCommand. */
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
                "no node could be asked: " + std::string(reports.status().message())};
    CommandResult result;
    core::identity::Revision wanted;
    if (envelope.ok())
        wanted = envelope->revision;
    else
        result.text = "the platform cannot be reached; nodes serve what they hold\n";
    result.json["accepted"] = wanted.number();
    result.json["nodes"] = json::array();
    std::size_t inForce = 0;
    std::string lacking;
    for (const auto &report : *reports) {
        result.json["nodes"].push_back({{"node", report.node},
                                        {"dataCentre", report.dataCentre},
                                        {"reached", report.isReached},
                                        {"revision", report.revision.number()}});
        if (report.isReached && report.revision >= wanted)
            ++inForce;
        else
            lacking += "\n  " + report.node + " in " + report.dataCentre
                       + (report.isReached
                                  ? " serves revision " + std::to_string(report.revision.number())
                                  : std::string(" does not answer"));
    }
    result.text += "accepted revision " + std::to_string(wanted.number()) + ", in force on "
                   + std::to_string(inForce) + " of " + std::to_string(reports->size()) + " nodes"
                   + (lacking.empty() ? "" : "; the others:" + lacking);
    return result;
}

} // namespace boragetrack::operators::commands
