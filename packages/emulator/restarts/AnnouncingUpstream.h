/** The upstream of a simulated node. */
#pragma once

#include "emulator/restarts/NodeProcess.h"

namespace boragetrack::emulator::restarts {

/** Announces itself regularly to the node's process, and departs on request. It repeats the
    departure until it is acknowledged. */
class AnnouncingUpstream
{
public:
    /** Returns the node's process, or null while there is none. */
    using ProcessSource = std::function<std::shared_ptr<NodeProcess>()>;

    /** @param clock must outlive this object */
    AnnouncingUpstream(clock::EventClock &clock, std::size_t node, ProcessSource process);

    /** Starts the announcements. @param delay the time until the first one */
    void start(std::chrono::milliseconds delay);

    /** Departs. The last announcement before arrives again, late.
        @param lateBy after which time it arrives */
    void depart(std::chrono::milliseconds lateBy);

    /** Returns the name of the upstream's process. */
    const std::string &instance() const { return instance_; }

    /** Returns when the departure was acknowledged, or nothing before. */
    const std::optional<core::timing::MonotonicTime> &acknowledgedAt() const
    {
        return acknowledgedAt_;
    }

private:
    transport::serving::UpstreamAnnouncement nextAnnouncement();
    void announceRegularly();
    void announce(const daemon::service::AnnouncementProcessor::OutcomeSink &onProcessed);
    void sendDeparture(int remainingAttempts);

    clock::EventClock &clock_;
    ProcessSource process_;
    const std::string instance_;
    transport::serving::UpstreamAnnouncement last_;
    bool isDeparting_ = false;
    std::optional<core::timing::MonotonicTime> acknowledgedAt_;
};

} // namespace boragetrack::emulator::restarts
