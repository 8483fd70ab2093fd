/** Handling of the announcements of the node's upstream. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/membership/AnnouncementFilter.h"
#include "control/membership/DepartureKeeper.h"
#include "core/timing/TimerService.h"
#include "transport/serving/AnnouncementOutcome.h"
#include "transport/serving/UpstreamAnnouncement.h"
#include "transport/serving/UpstreamStatus.h"

#include <functional>
#include <optional>
#include <vector>

namespace boragetrack::daemon::service {

/**
    Applies current announcements and ignores late ones, also those from before a restart of the
    node: a departure is acknowledged only once it is kept for later processes, and a new process
    uses no upstream before the store could tell it which one had departed. While the store does not
    respond, it refuses the first announcement and uses an upstream that announces itself again;
    peers may have been cut off, or started again themselves, when the departure was published.

    Used on the control thread only.
*/
class AnnouncementProcessor
{
public:
    /** Receives the status of the upstream, or nothing if there is none. */
    using UpstreamSink
            = std::function<void(const std::optional<transport::serving::UpstreamStatus> &)>;

    /** Receives the outcome of an announcement. */
    using OutcomeSink = std::function<void(transport::serving::AnnouncementOutcome)>;

    /** How long the response to a departure waits until it is kept. An upstream does not wait for
        longer than a second. */
    static constexpr std::chrono::milliseconds maximumKeepingTime{800};

    /** How long before the process an upstream may have started without an earlier process of this
        node having seen it leave. When a VM starts, both start at about the same time. */
    static constexpr std::chrono::milliseconds startTolerance{1000};

    /** @param timers outlives the processor
        @param startedAt the time at which this process started
        @param announcementTimeout the time without announcements after which the upstream is lost
     */
    AnnouncementProcessor(const core::timing::TimerService &timers,
                          core::timing::WallTime startedAt,
                          std::chrono::milliseconds announcementTimeout)
        : timers_(timers)
        , startedAt_(startedAt)
        , announcementTimeout_(announcementTimeout)
    {}

    /** Sets the collaborators. Must be called first. @param plane and @param keeper outlive the
        processor's use */
    void start(control::distribution::ControlPlane &plane,
               control::membership::DepartureKeeper &keeper, UpstreamSink sink);

    /** Handles an announcement without a stamp, which is taken for current. */
    void announce(const transport::serving::UpstreamStatus &status);

    /** Handles an announcement with a stamp. @param onProcessed called once the announcement may be
        responded to */
    void announce(const transport::serving::UpstreamAnnouncement &announcement,
                  OutcomeSink onProcessed);

    /** Applies what the store and the peers keep, responds to departures, and drops an upstream
        that stopped announcing itself. Must be called regularly and after messages from peers. */
    void update();

private:
    struct Acknowledgement
    {
        control::membership::AnnouncementStamp departure;
        core::timing::MonotonicTime deadline;
        OutcomeSink onProcessed;
    };

    void apply(const transport::serving::UpstreamAnnouncement &announcement);
    void setUpstream(const transport::serving::UpstreamStatus &status);
    void publishDeparture();
    void adoptDeparture();
    bool isProven(const control::membership::AnnouncementStamp &stamp) const;
    void hold(const transport::serving::UpstreamAnnouncement &announcement);
    void applyHeldAnnouncement();
    void acknowledgeDepartures();
    void expireUpstream();
    bool mayHaveDepartedEarlier(const control::membership::AnnouncementStamp &stamp) const;

    const core::timing::TimerService &timers_;
    const core::timing::WallTime startedAt_;
    const std::chrono::milliseconds announcementTimeout_;
    control::distribution::ControlPlane *plane_ = nullptr;
    control::membership::DepartureKeeper *keeper_ = nullptr;
    UpstreamSink sink_;
    std::optional<transport::serving::UpstreamStatus> upstream_;
    control::membership::AnnouncementFilter filter_;
    core::timing::MonotonicTime announcedAt_{};
    // The departure that was adopted from the store or the peers last.
    std::optional<control::membership::AnnouncementStamp> adoptedDeparture_;
    // The last announcement that arrived before the earlier departures were known.
    std::optional<transport::serving::UpstreamAnnouncement> held_;
    // Whether held_ followed an earlier announcement of the same process.
    bool isHeldRepeated_ = false;
    // An announcement of the upstream process that was last taken for a live one.
    std::optional<control::membership::AnnouncementStamp> proven_;
    std::vector<Acknowledgement> acknowledgements_;
};

} // namespace boragetrack::daemon::service
