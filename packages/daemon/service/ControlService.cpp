/** Limits how often snapshots are built and moves are recorded. */
#include "daemon/service/ControlService.h"

#include "control/membership/RingNeighbours.h"
#include "control/moves/BaselineMovePolicies.h"
#include "control/moves/StandardMovePolicies.h"
#include "core/events/EventLog.h"
#include "daemon/service/StatusReport.h"
#include "daemon/service/StoreKnowledgeLog.h"

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using control::membership::MemberRecord;
using control::membership::MemberState;
using core::events::EventCode;
using core::identity::Revision;
using core::timing::MonotonicTime;
using transport::serving::UpstreamAnnouncement;
using transport::serving::UpstreamStatus;

namespace {

constexpr std::chrono::milliseconds updatePeriod{200};
constexpr std::chrono::milliseconds moveRecordInterval{1000};
// Operators who have only the logs compute rates from two successive lines.
constexpr std::chrono::milliseconds counterLogPeriod{10'000};
constexpr std::chrono::milliseconds moveRecordJitter{500};
// A node has an intent sooner after an ordinary start.
constexpr std::chrono::milliseconds firstWaitLogDelay{1000};
constexpr std::chrono::milliseconds waitLogPeriod{5000};

std::unique_ptr<control::moves::MovePolicies> makeMovePolicies(bool isBaseline)
{
    if (isBaseline)
        return std::make_unique<control::moves::BaselineMovePolicies>();
    return std::make_unique<control::moves::StandardMovePolicies>();
}

EventCode eventOf(MemberState state)
{
    switch (state) {
    case MemberState::Suspect:
        return EventCode::MemberSuspect;
    case MemberState::Dead:
        return EventCode::MemberDead;
    case MemberState::Left:
        return EventCode::MemberLeft;
    case MemberState::Alive:
        break;
    }
    return EventCode::MemberAlive;
}

} // namespace

ControlService::ControlService(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , routingPublisher_(dependencies_.routing)
    , changeLog_(dependencies_.counters)
    , monitor_(dependencies_.counters, updatePeriod)
    , keyMonitor_(traffic::access::KeyFreshness(dependencies_.settings.keyFreshness),
                  dependencies_.storeContact)
    , announcements_(dependencies_.thread, core::timing::currentWallTime(),
                     dependencies_.settings.announcementTimeout)
{}

ControlService::~ControlService() = default;

void ControlService::start(control::distribution::PeerTransport &transport,
                           control::usage::UsageTransport &usageTransport,
                           UpstreamSink upstreamSink)
{
    dependencies_.thread.post(
            [this, &transport, &usageTransport, sink = std::move(upstreamSink)]() {
                ControlPlane::Dependencies dependencies{
                        dependencies_.self,
                        dependencies_.settings.seeds,
                        std::make_unique<control::membership::RingNeighbours>(),
                        makeMovePolicies(dependencies_.settings.usesBaselinePolicies),
                        core::timing::currentWallTime,
                        std::random_device{}(),
                        dependencies_.source.makeReplica()};
                ControlPlane::Listener &planeListener = *this;
                core::timing::TimerService::Listener &timerListener = *this;
                plane_ = std::make_unique<ControlPlane>(std::move(dependencies), transport,
                                                        dependencies_.thread, planeListener);
                timer_ = std::make_unique<core::timing::ScopedTimer>(dependencies_.thread,
                                                                     timerListener, updatePeriod);
                announcements_.start(*plane_, dependencies_.source.departureKeeper(), sink);
                plane_->start();
                if (dependencies_.usage != nullptr)
                    dependencies_.usage->start(usageTransport, *plane_);
                dependencies_.source.attach(*plane_);
            });
}

void ControlService::leave()
{
    post([this](ControlPlane &plane) {
        plane.leave();
        if (dependencies_.usage != nullptr)
            dependencies_.usage->beginStop();
    });
}

void ControlService::stop()
{
    dependencies_.thread.post([this]() {
        timer_.reset();
        if (dependencies_.usage != nullptr)
            dependencies_.usage->stop();
        if (plane_)
            dependencies_.source.detach();
        plane_.reset();
    });
}

//==============================================================================
void ControlService::storeValueReceived(const std::string &text)
{
    post([text](ControlPlane &plane) { plane.storeValueReceived(text); });
}

void ControlService::upstreamAnnounced(const UpstreamStatus &status)
{
    post([this, status](ControlPlane & /*plane*/) { announcements_.announce(status); });
}

void ControlService::upstreamAnnounced(const UpstreamAnnouncement &announcement,
                                       const AnnouncementProcessor::OutcomeSink &onProcessed)
{
    post([this, announcement, onProcessed](ControlPlane & /*plane*/) {
        announcements_.announce(announcement, onProcessed);
    });
}

void ControlService::callEnded(const control::moves::CallEvidence &evidence)
{
    post([evidence](ControlPlane &plane) { plane.callEnded(evidence); });
}

nlohmann::json ControlService::status()
{
    const auto report = dependencies_.thread.query([this]() {
        return plane_ ? reportStatus(*plane_, *dependencies_.routing.current()) : nlohmann::json();
    });
    return report.value_or(nlohmann::json());
}

nlohmann::json ControlService::members()
{
    const auto report = dependencies_.thread.query(
            [this]() { return plane_ ? reportMembers(*plane_) : nlohmann::json(); });
    return report.value_or(nlohmann::json());
}

nlohmann::json ControlService::moves()
{
    const auto report = dependencies_.thread.query(
            [this]() { return plane_ ? reportMoves(*plane_) : nlohmann::json(); });
    return report.value_or(nlohmann::json());
}

nlohmann::json ControlService::usageStatus()
{
    const auto report = dependencies_.thread.query([this]() {
        return dependencies_.usage != nullptr ? dependencies_.usage->status() : nlohmann::json();
    });
    return report.value_or(nlohmann::json());
}

//==============================================================================
void ControlService::intentInForce()
{
    dependencies_.counters.counter("intents_applied").add();
    routingPublisher_.intentInForce(*plane_, dependencies_.thread.now());
    changeLog_.intentInForce(*plane_, dependencies_.thread.now());
    dependencies_.revisions.publish(plane_->snapshot()->revision());
}

void ControlService::laterRevisionReported()
{
    dependencies_.source.laterRevisionReported();
}

void ControlService::storeReadRequested()
{
    dependencies_.counters.counter("store_reads_for_others").add();
    dependencies_.source.storeReadRequested();
}

void ControlService::intentRefused()
{
    const auto &replica = plane_->replica();
    dependencies_.counters.counter("intents_refused").add();
    core::events::logEvent(EventCode::IntentRefused, "intent refused",
                           {{"revision", std::to_string(replica.refusedRevision().number())},
                            {"findings", replica.refusal()}});
}

void ControlService::memberChanged(const MemberRecord *previous, const MemberRecord &record)
{
    routingPublisher_.memberChanged();
    if (dependencies_.usage != nullptr)
        dependencies_.usage->membersChanged();
    if (previous != nullptr && previous->state == record.state)
        return;
    core::events::logEvent(
            eventOf(record.state), "member changed",
            {{"node", record.id.value()}, {"dataCentre", record.dataCentre.value()}});
}

void ControlService::dataCentreSilent(const core::identity::DataCentreId &dataCentre)
{
    core::events::logEvent(EventCode::DataCentreSilent, "data centre silent",
                           {{"dataCentre", dataCentre.value()}});
}

void ControlService::moveStopped(const control::intent::MoveIntent &move,
                                 const std::string &evidence)
{
    dependencies_.counters.counter("moves_stopped").add();
    core::events::logEvent(EventCode::MoveStopped, "move stopped",
                           {{"move", move.id}, {"evidence", evidence}});
}

void ControlService::timerElapsed(MonotonicTime now)
{
    monitor_.recordTick(now);
    announcements_.update();
    recordMoves(now);
    logCounters(now);
    logMissingIntent(now);
    dependencies_.source.update();
    changeLog_.update(*plane_, now);
    keyMonitor_.update(*plane_, now);
    if (dependencies_.usage != nullptr)
        dependencies_.usage->update();
    routingPublisher_.update(*plane_, now);
}

//==============================================================================
bool ControlService::post(std::function<void(ControlPlane &)> task)
{
    return dependencies_.thread.post([this, task = std::move(task)]() {
        if (!plane_)
            return;
        task(*plane_);
        announcements_.update();
        keyMonitor_.update(*plane_, dependencies_.thread.now());
        routingPublisher_.update(*plane_, dependencies_.thread.now());
    });
}

void ControlService::logCounters(MonotonicTime now)
{
    if (now < nextCountersAt_)
        return;
    nextCountersAt_ = now + counterLogPeriod;
    core::events::logEvent(EventCode::Counters, "counters " + dependencies_.counters.toLine());
    core::events::logSuppressedLines();
    logStoreKnowledge(plane_->storeKnowledge());
}

void ControlService::logMissingIntent(MonotonicTime now)
{
    const auto wait = plane_->intentWait();
    if (!wait || wait->duration < firstWaitLogDelay)
        return;
    if (wait->reason == loggedWaitReason_ && now < nextWaitLogAt_)
        return;
    loggedWaitReason_ = wait->reason;
    nextWaitLogAt_ = now + waitLogPeriod;
    core::events::logEvent(
            EventCode::IntentMissing, "no intent in force",
            {{"reason", describe(wait->reason)},
             {"ms", std::to_string(wait->duration.count())},
             {"held", std::to_string(wait->held.number())},
             {"minimum", std::to_string(wait->minimum.number())},
             {"reportedBy", wait->minimumReportedBy.value()},
             {"fetches", std::to_string(wait->fetches)},
             {"lastFetchFrom", wait->lastFetchFrom.toString()},
             {"members", std::to_string(plane_->membership().table().records().size())},
             {"withoutAddress", std::to_string(plane_->exchangesWithoutAddress())}});
}

void ControlService::recordMoves(MonotonicTime now)
{
    if (now < nextRecordAt_ || !plane_->followsMoves())
        return;
    const auto records = plane_->pendingMoveRecords();
    if (records.empty())
        return;
    std::uniform_int_distribution<std::int64_t> jitter(0, moveRecordJitter.count());
    nextRecordAt_ = now + moveRecordInterval + std::chrono::milliseconds(jitter(random_));
    dependencies_.source.recordMove(records.front());
}

} // namespace boragetrack::daemon::service
