/** Implements the change of data centres. */
#include "operators/commands/DataCentreChange.h"

namespace boragetrack::operators::commands {

using nlohmann::json;

CommandResult setDataCentreOut(CommandContext &context,
                               const boost::program_options::variables_map &arguments, bool isOut)
{
    const std::string name = arguments["name"].as<std::string>();
    const std::string reason = arguments["reason"].as<std::string>();
    const std::string action = std::string("datacentre ") + (isOut ? "out " : "back ") + name;
    return context.applyChange(arguments, action, reason, [&](json &document) {
        for (json &dataCentre : document["dataCentres"]) {
            if (dataCentre["name"] != name)
                continue;
            dataCentre["out"] = isOut;
            dataCentre["reason"] = reason;
            return absl::OkStatus();
        }
        return absl::NotFoundError("no data centre '" + name + "'");
    });
}

} // namespace boragetrack::operators::commands
