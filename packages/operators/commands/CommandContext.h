/** What commands work with. */
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

/** Joins the platform, the fleet and the arguments of one command. */
class CommandContext
{
public:
    /** Prints one line of progress. */
    using ProgressCallback = std::function<void(const std::string &)>;

    CommandContext(const settings::OperatorSettings &settings, control::store::ConfigStore &store,
                   transport::http::HttpClient &client, ProgressCallback progress);

    /** Applies a change to the intent and, with --wait, waits until it is in force. */
    CommandResult applyChange(const boost::program_options::variables_map &arguments,
                              const std::string &action, const std::string &reason,
                              const control::store::IntentEditor::Mutation &mutation);

    /** Waits until a revision is in force on every node. */
    CommandResult waitUntilInForce(core::identity::Revision revision,
                                   std::chrono::milliseconds timeout);

    /** Returns the stored intent. */
    absl::StatusOr<control::intent::IntentEnvelope> readIntent() { return editor_.read(); }

    /** Returns the result for a platform that does not answer. */
    static CommandResult platformUnreachable(const absl::Status &status);

    /** Returns the store. */
    control::store::ConfigStore &store() { return store_; }

    /** Returns the client of the nodes. */
    fleet::FleetClient &fleet() { return fleet_; }

    /** Returns the settings. */
    const settings::OperatorSettings &settings() const { return settings_; }

    /** Prints one line of progress. */
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
