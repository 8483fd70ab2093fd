/** Implements MoveRecorder. */
#include "daemon/service/MoveRecorder.h"

#include "control/moves/MoveRecording.h"
#include "control/store/SleepingWaiter.h"
#include "core/events/EventLog.h"

#include <random>

namespace boragetrack::daemon::service {

using control::moves::MoveRecord;
using control::store::EditOutcome;
using core::events::EventCode;

namespace {

constexpr std::chrono::hours idleWait{1};

std::string nameOf(control::intent::MoveState state)
{
    return state == control::intent::MoveState::Done ? "done" : "taken back";
}

control::intent::ChangeRecord changeFor(const MoveRecord &record,
                                        const core::identity::NodeId &self)
{
    return {"move-" + record.moveId + "-" + nameOf(record.state) + "-" + self.value() + "-"
                    + std::to_string(std::random_device{}()),
            "node " + self.value(), core::timing::currentWallTime(),
            "move " + record.moveId + " " + nameOf(record.state), record.evidence};
}

} // namespace

MoveRecorder::MoveRecorder(control::store::ConfigStore &store, core::identity::NodeId self,
                           core::counters::CounterRegistry &counters)
    : store_(store)
    , self_(std::move(self))
    , storeCalls_(counters.counter("store_calls"))
{}

MoveRecorder::~MoveRecorder()
{
    stop();
}

void MoveRecorder::start()
{
    thread_ = std::thread([this]() { run(); });
}

void MoveRecorder::stop()
{
    queue_.close();
    if (thread_.joinable())
        thread_.join();
}

void MoveRecorder::record(const MoveRecord &record, core::identity::Revision floor)
{
    if (isBusy_.exchange(true))
        return;
    const bool isPosted = queue_.post([this, record, floor]() { write(record, floor); });
    if (!isPosted)
        isBusy_ = false;
}

void MoveRecorder::run()
{
    while (!queue_.isClosed()) {
        const auto task = queue_.waitUntil(std::chrono::steady_clock::now() + idleWait);
        if (!task)
            continue;
        (*task)();
        isBusy_ = false;
    }
}

void MoveRecorder::write(const MoveRecord &record, core::identity::Revision floor)
{
    storeCalls_.add();
    control::store::SleepingWaiter waiter;
    control::store::IntentEditor editor(store_, waiter);
    const auto mutation = [&](nlohmann::json &document) {
        return control::moves::recordOutcome(document, record, core::timing::currentWallTime());
    };
    const auto result = editor.edit(changeFor(record, self_), mutation, floor);
    // A refusal or a conflict means that another node was first; the watch brings its record.
    if (result.outcome == EditOutcome::Accepted)
        core::events::logEvent(EventCode::MoveRecorded, "move recorded",
                               {{"move", record.moveId}, {"state", nameOf(record.state)}});
    else if (result.outcome == EditOutcome::PlatformUnavailable)
        core::events::logEvent(EventCode::MoveRecordFailed, "move not recorded yet",
                               {{"move", record.moveId}, {"error", result.message}});
}

} // namespace boragetrack::daemon::service
