/** The thread that records the outcomes of moves. */
#pragma once

#include "control/moves/MoveRecord.h"
#include "control/store/IntentEditor.h"
#include "core/concurrency/EventQueue.h"
#include "core/counters/CounterRegistry.h"
#include "core/identity/NodeId.h"

#include <atomic>
#include <thread>

namespace boragetrack::daemon::service {

/** Writes a move's outcome into the intent by compare-and-swap; of several nodes that try, one
    succeeds and the others find the record made. */
class MoveRecorder
{
public:
    /** @param store outlives the recorder */
    MoveRecorder(control::store::ConfigStore &store, core::identity::NodeId self,
                 core::counters::CounterRegistry &counters);
    ~MoveRecorder();
    MoveRecorder(const MoveRecorder &) = delete;
    MoveRecorder &operator=(const MoveRecorder &) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread after the record under way. */
    void stop();

    /** Begins to record an outcome; does nothing while another record is under way. */
    void record(const control::moves::MoveRecord &record, core::identity::Revision floor);

private:
    void run();
    void write(const control::moves::MoveRecord &record, core::identity::Revision floor);

    control::store::ConfigStore &store_;
    core::identity::NodeId self_;
    core::counters::Counter &storeCalls_;
    core::concurrency::EventQueue queue_{1};
    std::atomic<bool> isBusy_{false};
    std::thread thread_;
};

} // namespace boragetrack::daemon::service
