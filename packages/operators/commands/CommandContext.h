/** Access to the platform and the nodes for commands, and the steps that several commands share. */
#pragma once

#include "control/store/AuditTrail.h"
#include "control/store/IntentEditor.h"
#include "operators/commands/CommandResult.h"
#include "operators/fleet/FleetClient.h"
#include "operators/settings/OperatorSettings.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace boragetrack::operators::commands {

/** Provides commands with the intent editor, the client of the nodes and the settings. */
class CommandContext
{
public:
    /** Receives one line of progress. */
    using ProgressCallback = std::function<void(const std::string &)>;

    /** @param settings, @param store and @param client must outlive this object */
    CommandContext(const settings::OperatorSettings &settings, control::store::ConfigStore &store,
                   transport::http::HttpClient &client, ProgressCallback progress);

    /** Applies a change to the intent and, with --wait, waits up to 15 s until it is in force on
        all nodes. Refuses a change if a configured node serves a newer revision than the platform.
        @param action the command with its arguments, for the audit trail
        @param reason the operator's reason, for the audit trail
        @param mutation modifies the document
        @returns Success if the change was accepted and, with --wait, is in force; Failed if it was
        refused or is not in force in time; PlatformUnreachable or Conflict otherwise */
    CommandResult applyChange(const boost::program_options::variables_map &arguments,
                              const std::string &action, const std::string &reason,
                              const control::store::IntentEditor::Mutation &mutation);

    /** Waits until a revision is in force on every member that is alive or suspect.
        @returns Success, or Failed with the nodes on which it is not in force after the timeout;
        Failed as well if no configured node supplies the members */
    CommandResult waitUntilInForce(core::identity::Revision revision,
                                   std::chrono::milliseconds timeout);

    /** Returns the stored intent. Errors: those of IntentEditor::read(). */
    absl::StatusOr<control::intent::IntentEnvelope> readIntent() { return editor_.read(); }

    /** Returns the result of a command that failed to read from the platform. */
    static CommandResult platformUnreachable(const absl::Status &status);

    control::store::ConfigStore &store() { return store_; }

    fleet::FleetClient &fleet() { return fleet_; }

    const settings::OperatorSettings &settings() const { return settings_; }

    /** Passes one line of progress to the callback. */
    void reportProgress(const std::string &line) const { progress_(line); }

private:
    const settings::OperatorSettings &settings_;
    control::store::ConfigStore &store_;
    fleet::FleetClient fleet_;
    std::unique_ptr<control::store::EditWaiter> waiter_;
    control::store::IntentEditor editor_;
    ProgressCallback progress_;
};

} // namespace boragetrack::operators::commands
