/** Handling of the announcements of the node's upstream. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "control/membership/AnnouncementFilter.h"
#include "core/timing/TimerService.h"
#include "transport/serving/UpstreamAnnouncement.h"
#include "transport/serving/UpstreamStatus.h"

#include <functional>
#include <optional>
#include <vector>

namespace boragetrack::daemon::service {

/**
    Applies current announcements and ignores late ones, also those from before a restart of the
    node: a departure is acknowledged once a peer keeps it, and a new process uses no upstream
    before its peers could tell it which one had departed.

    Used on the control thread only.
*/
class AnnouncementProcessor
{
public:
    /** Receives the status of the upstream, or nothing if there is none. */
    using UpstreamSink
            = std::function<void(const std::optional<transport::serving::UpstreamStatus> &)>;

    /** How long the acknowledgement of a departure waits for a peer that keeps it. An upstream
        does not wait for a later one. */
    static constexpr std::chrono::milliseconds maximumReplicationTime{500};

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

    /** Sets the outputs. Must be called first. @param plane outlives the processor's use */
    void start(control::distribution::ControlPlane &plane, UpstreamSink sink);

    /** Handles an announcement without a stamp, which is taken for current. */
    void announce(const transport::serving::UpstreamStatus &status);

    /** Handles an announcement with a stamp. @param onProcessed called once the announcement may be
        acknowledged */
    void announce(const transport::serving::UpstreamAnnouncement &announcement,
                  std::function<void()> onProcessed);

    /** Applies what the peers keep, acknowledges departures, and drops an upstream that stopped
        announcing itself. Must be called regularly and after messages from peers. */
    void update();

private:
    struct Acknowledgement
    {
        control::membership::AnnouncementStamp departure;
        core::timing::MonotonicTime deadline;
        std::function<void()> onProcessed;
    };

    void apply(const transport::serving::UpstreamAnnouncement &announcement);
    void setUpstream(const transport::serving::UpstreamStatus &status);
    void publishDeparture();
    void adoptDeparture();
    void applyHeldAnnouncement();
    void acknowledgeDepartures();
    void expireUpstream();
    bool mayHaveDepartedEarlier(const control::membership::AnnouncementStamp &stamp) const;
    bool isReplicated(const control::membership::AnnouncementStamp &departure) const;

    const core::timing::TimerService &timers_;
    const core::timing::WallTime startedAt_;
    const std::chrono::milliseconds announcementTimeout_;
    control::distribution::ControlPlane *plane_ = nullptr;
    UpstreamSink sink_;
    std::optional<transport::serving::UpstreamStatus> upstream_;
    control::membership::AnnouncementFilter filter_;
    core::timing::MonotonicTime announcedAt_{};
    // The departure that was adopted from the peers last.
    std::optional<control::membership::AnnouncementStamp> adoptedDeparture_;
    // The last announcement that arrived before the earlier departures were known.
    std::optional<transport::serving::UpstreamAnnouncement> held_;
    std::vector<Acknowledgement> acknowledgements_;
};

} // namespace boragetrack::daemon::service
