/** Announcements arrive at once or, for the one that a departure overtakes, late. */
#include "emulator/restarts/AnnouncingUpstream.h"

#include "emulator/restarts/IntentRecords.h"

namespace boragetrack::emulator::restarts {

using control::membership::UpstreamState;
using std::chrono::milliseconds;
using transport::serving::AnnouncementOutcome;
using transport::serving::UpstreamAnnouncement;

namespace {

constexpr milliseconds announcementPeriod{1500};
constexpr int departureAttempts = 3;
constexpr int slots = 10;
// One node in this many has an upstream of the new version.
constexpr std::size_t newVersionInterval = 3;

// The time after which a refused announcement is repeated.
constexpr milliseconds retryDelay{30};

void ignoreOutcome(AnnouncementOutcome /*outcome*/) {}

} // namespace

AnnouncingUpstream::AnnouncingUpstream(clock::EventClock &clock, std::size_t node,
                                       ProcessSource process)
    : clock_(clock)
    , process_(std::move(process))
    , instance_("i-" + std::to_string(node))
{
    const bool isNew = node % newVersionInterval == 1;
    control::membership::UpstreamRecord &record = last_.status.record;
    record.service = core::identity::ServiceName(serviceName);
    record.version = core::identity::VersionName(isNew ? newVersion : oldVersion);
    record.state = UpstreamState::Serving;
    record.slots = slots;
    last_.status.address = {"10.0.0.1", 9000};
    last_.status.instance = instance_;
    last_.stamp.instance = instance_;
    last_.stamp.startedAt = core::timing::WallTime(
            std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch()));
}

void AnnouncingUpstream::start(milliseconds delay)
{
    clock_.schedule(delay, [this]() { announceRegularly(); });
}

UpstreamAnnouncement AnnouncingUpstream::nextAnnouncement()
{
    ++last_.stamp.sequence;
    return last_;
}

void AnnouncingUpstream::announceRegularly()
{
    if (isDeparting_)
        return;
    announce([this](AnnouncementOutcome outcome) {
        if (outcome == AnnouncementOutcome::NotProven)
            clock_.schedule(retryDelay, [this]() { announce(ignoreOutcome); });
    });
    clock_.schedule(announcementPeriod, [this]() { announceRegularly(); });
}

void AnnouncingUpstream::announce(
        const daemon::service::AnnouncementProcessor::OutcomeSink &onProcessed)
{
    if (isDeparting_)
        return;
    const UpstreamAnnouncement announcement = nextAnnouncement();
    if (const auto process = process_())
        process->announce(announcement, onProcessed);
}

void AnnouncingUpstream::depart(milliseconds lateBy)
{
    isDeparting_ = true;
    const UpstreamAnnouncement late = nextAnnouncement();
    clock_.schedule(lateBy, [this, late]() {
        if (const auto process = process_())
            process->announce(late, ignoreOutcome);
    });
    sendDeparture(departureAttempts);
}

void AnnouncingUpstream::sendDeparture(int remainingAttempts)
{
    if (acknowledgedAt_ || remainingAttempts == 0)
        return;
    UpstreamAnnouncement announcement = nextAnnouncement();
    announcement.isDeparture = true;
    if (const auto process = process_()) {
        process->announce(announcement, [this](AnnouncementOutcome outcome) {
            if (outcome == AnnouncementOutcome::Processed && !acknowledgedAt_)
                acknowledgedAt_ = clock_.now();
        });
    }
    clock_.schedule(announcementPeriod,
                    [this, remainingAttempts]() { sendDeparture(remainingAttempts - 1); });
}

} // namespace boragetrack::emulator::restarts
