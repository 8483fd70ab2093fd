/** Recording of moves' outcomes in the native format. */
#pragma once

#include "control/moves/MoveRecord.h"
#include "control/store/IntentEditor.h"
#include "core/concurrency/EventQueue.h"
#include "core/counters/CounterRegistry.h"
#include "core/identity/NodeId.h"

#include <atomic>
#include <thread>

namespace boragetrack::daemon::service {

/** Writes the outcome of a move into the intent by compare-and-swap, on a thread for calls that
    block. If several nodes try, one succeeds and the others find the outcome recorded. */
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

    /** Stops the thread after the record in progress. */
    void stop();

    /** Starts to record an outcome; does nothing while another record is in progress.
        @param minimumRevision the record is refused if the stored intent is older */
    void record(const control::moves::MoveRecord &record, core::identity::Revision minimumRevision);

private:
    void run();
    void write(const control::moves::MoveRecord &record, core::identity::Revision minimumRevision);

    control::store::ConfigStore &store_;
    core::identity::NodeId self_;
    core::counters::Counter &storeCalls_;
    core::concurrency::EventQueue queue_{1};
    std::atomic<bool> isRecording_{false};
    std::thread thread_;
};

} // namespace boragetrack::daemon::service
