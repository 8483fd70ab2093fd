/** Implements ExceptionAddCommand. */
#include "operators/commands/ExceptionAddCommand.h"

#include "operators/commands/Arguments.h"

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

json scopeFrom(const options::variables_map &arguments)
{
    json scope = json::object();
    if (arguments.contains("service"))
        scope["service"] = arguments["service"].as<std::string>();
    if (arguments.contains("route"))
        scope["route"] = arguments["route"].as<std::string>();
    if (arguments.contains("datacentre"))
        scope["dataCentre"] = arguments["datacentre"].as<std::string>();
    return scope;
}

} // namespace

void ExceptionAddCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("id", options::value<std::string>()->required(), "a new id");
    add("setting", options::value<std::string>()->required(), "name");
    add("value", options::value<std::string>()->required(), "value");
    add("service", options::value<std::string>(), "covers this service only");
    add("route", options::value<std::string>(), "covers this route only");
    add("datacentre", options::value<std::string>(), "covers this data centre only");
    add("expires", options::value<std::string>(),
        "when it ends, such as 2026-12-24T18:00:00Z or +3600s");
    add("reason", options::value<std::string>()->required(), "why, for the audit trail");
    add("wait", options::bool_switch(), "wait until the change is in force everywhere");
}

CommandResult ExceptionAddCommand::run(CommandContext &context,
                                       const options::variables_map &arguments) const
{
    const auto value = parseInteger(arguments["value"].as<std::string>());
    if (!value)
        return {ExitCode::UsageError, "the value must be a whole number"};
    const std::string id = arguments["id"].as<std::string>();
    const std::string reason = arguments["reason"].as<std::string>();
    json exception{{"id", id},
                   {"scope", scopeFrom(arguments)},
                   {"setting", arguments["setting"].as<std::string>()},
                   {"value", *value},
                   {"reason", reason},
                   {"author", context.settings().operatorName},
                   {"createdAt", core::timing::formatWallTime(core::timing::currentWallTime())}};
    if (arguments.contains("expires")) {
        const auto expires = parseTimeArgument(arguments["expires"].as<std::string>());
        if (!expires)
            return {ExitCode::UsageError, "--expires takes a time or +SECONDSs"};
        exception["expiresAt"] = core::timing::formatWallTime(*expires);
    }
    return context.applyChange(arguments, "exception add " + id, reason, [&](json &document) {
        document["exceptions"].push_back(exception);
        return absl::OkStatus();
    });
}

} // namespace boragetrack::operators::commands
