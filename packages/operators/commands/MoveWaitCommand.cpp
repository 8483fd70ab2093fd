/** Watches the stored intent; after an error or a watch timeout, watches again after a pause. */
#include "operators/commands/MoveWaitCommand.h"

#include "control/store/StoreKeys.h"
#include "operators/commands/Arguments.h"

#include <thread>

namespace boragetrack::operators::commands {

namespace options = boost::program_options;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds watchTimeout{10'000};
constexpr std::chrono::milliseconds retryInterval{500};

// Returns the result if the move has ended or does not exist; nothing while it is running.
std::optional<CommandResult> resultOfEndedMove(const std::string &id, const json &document)
{
    for (const json &move : document["moves"]) {
        if (move["id"] != id)
            continue;
        const std::string state = move["state"];
        if (state == "running")
            return std::nullopt;
        const bool isDone = state == "done";
        return CommandResult{isDone ? ExitCode::Success : ExitCode::Failed,
                             "move " + id + " is " + (isDone ? "done" : "taken back") + ": "
                                     + move.value("outcome", ""),
                             json{{"move", id},
                                  {"state", state},
                                  {"outcome", move.value("outcome", "")},
                                  {"endedAt", move.value("endedAt", "")}}};
    }
    return CommandResult{ExitCode::Failed, "move '" + id + "' does not exist"};
}

} // namespace

void MoveWaitCommand::addOptions(options::options_description &description) const
{
    auto add = description.add_options();
    add("move", options::value<std::string>()->required(), "id of the move");
    add("timeout", options::value<std::string>()->default_value("3600"), "maximum wait in seconds");
}

CommandResult MoveWaitCommand::run(CommandContext &context,
                                   const options::variables_map &arguments) const
{
    const std::string id = arguments["move"].as<std::string>();
    const auto seconds = parseInteger(arguments["timeout"].as<std::string>());
    if (!seconds)
        return {ExitCode::UsageError, "--timeout must be an integer number of seconds"};
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(*seconds);
    control::store::StoreVersion knownVersion;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto value
                = context.store().watch(control::store::intentKey, knownVersion, watchTimeout);
        if (!value.ok()) {
            std::this_thread::sleep_for(retryInterval);
            continue;
        }
        knownVersion = value->version;
        const auto envelope = control::intent::IntentEnvelope::fromText(value->value);
        const auto result = envelope ? resultOfEndedMove(id, envelope->document) : std::nullopt;
        if (result)
            return *result;
        context.reportProgress("move " + id + " is running");
    }
    return {ExitCode::Failed, "move " + id + " did not end before the timeout"};
}

} // namespace boragetrack::operators::commands
