/** Implements CommandContext. */
#include "operators/commands/CommandContext.h"

#include "control/store/SleepingWaiter.h"

#include <random>
#include <thread>

namespace boragetrack::operators::commands {

using control::store::EditOutcome;
using control::store::EditResult;
using core::identity::Revision;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds inForceTimeout{15'000};

ExitCode exitCodeFor(EditOutcome outcome)
{
    switch (outcome) {
    case EditOutcome::Accepted:
        return ExitCode::Success;
    case EditOutcome::Refused:
        return ExitCode::Failed;
    case EditOutcome::Conflict:
        return ExitCode::Conflict;
    case EditOutcome::PlatformUnavailable:
    case EditOutcome::Unknown:
        break;
    }
    return ExitCode::PlatformUnreachable;
}

std::string describe(const EditResult &result)
{
    const std::string revision = std::to_string(result.revision.number());
    switch (result.outcome) {
    case EditOutcome::Accepted:
        return "accepted as revision " + revision;
    case EditOutcome::Refused:
        return "refused, nothing was changed:\n" + result.message;
    case EditOutcome::Conflict:
        return "not accepted, another operator was first:\n" + result.message;
    case EditOutcome::PlatformUnavailable:
        return "not accepted, nothing was changed: " + result.message;
    case EditOutcome::Unknown:
        break;
    }
    return result.message;
}

std::string makeChangeId(const std::string &operatorName)
{
    std::random_device random;
    return operatorName + "-" + std::to_string(random()) + "-" + std::to_string(random());
}

} // namespace

CommandContext::CommandContext(const settings::OperatorSettings &settings,
                               control::store::ConfigStore &store,
                               transport::http::HttpClient &client, ProgressCallback progress)
    : settings_(settings)
    , store_(store)
    , fleet_(settings, client)
    , waiter_(std::make_unique<control::store::SleepingWaiter>())
    , editor_(store, *waiter_)
    , progress_(std::move(progress))
{}

CommandResult CommandContext::applyChange(const boost::program_options::variables_map &arguments,
                                          const std::string &action, const std::string &reason,
                                          const control::store::IntentEditor::Mutation &mutation)
{
    const control::intent::ChangeRecord record{makeChangeId(settings_.operatorName),
                                               settings_.operatorName,
                                               core::timing::currentWallTime(), action, reason};
    const EditResult edited = editor_.edit(record, mutation, fleet_.highestRevision());
    CommandResult result{exitCodeFor(edited.outcome), describe(edited),
                         json{{"revision", edited.revision.number()},
                              {"accepted", edited.outcome == EditOutcome::Accepted},
                              {"message", edited.message}}};
    const bool isWaiting = arguments.contains("wait") && arguments["wait"].as<bool>();
    if (result.code != ExitCode::Success || !isWaiting)
        return result;
    reportProgress(result.text);
    CommandResult waited = waitUntilInForce(edited.revision, inForceTimeout);
    waited.json["accepted"] = true;
    return waited;
}

CommandResult CommandContext::waitUntilInForce(Revision revision, std::chrono::milliseconds timeout)
{
    const auto begun = std::chrono::steady_clock::now();
    const auto reports = fleet_.fetchReports(revision, timeout);
    if (!reports.ok())
        return {ExitCode::Failed,
                "accepted, but no node could be asked: " + std::string(reports.status().message())};
    json lacking = json::array();
    for (const auto &report : *reports) {
        if (!report.isReached || report.revision < revision)
            lacking.push_back(report.node);
    }
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - begun);
    CommandResult result;
    result.json = {{"revision", revision.number()},
                   {"nodes", reports->size()},
                   {"lacking", lacking},
                   {"waitedMs", passed.count()}};
    const std::string name = "revision " + std::to_string(revision.number());
    if (lacking.empty()) {
        result.text = name + " is in force on all " + std::to_string(reports->size()) + " nodes";
        return result;
    }
    result.code = ExitCode::Failed;
    result.text = name + " is accepted but not yet in force on: " + lacking.dump();
    return result;
}

CommandResult CommandContext::platformUnreachable(const absl::Status &status)
{
    return {ExitCode::PlatformUnreachable,
            "the platform cannot be reached: " + std::string(status.message())};
}

} // namespace boragetrack::operators::commands
