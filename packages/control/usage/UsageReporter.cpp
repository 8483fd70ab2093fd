/** Joins the parts: the election decides whether the delivery runs, the schedule what it delivers
    next. Calls to the receiver are made only in the tick, right after the lease was checked. */
#include "control/usage/UsageReporter.h"

#include "control/usage/ElectionOrder.h"
#include "control/usage/HolderElection.h"
#include "control/usage/ReportDelivery.h"
#include "control/usage/ReportSchedule.h"
#include "control/usage/SnapshotMark.h"
#include "control/usage/SnapshotSender.h"
#include "control/usage/UsageCollector.h"
#include "core/timing/ScopedTimer.h"

#include <algorithm>
#include <utility>

namespace boragetrack::control::usage {

using core::identity::Revision;
using core::timing::WallTime;
using std::chrono::nanoseconds;

namespace {

constexpr std::chrono::milliseconds tickPeriod{100};

} // namespace

/** The state of a reporter. */
class UsageReporter::Implementation : private core::timing::TimerService::Listener,
                                      private HolderElectionListener,
                                      private ReportDeliveryListener
{
public:
    explicit Implementation(const Dependencies &dependencies)
        : dependencies_(dependencies)
        , collector_(dependencies.settings.windowPeriod)
        , schedule_(dependencies.settings)
        , sender_(dependencies.transport, dependencies.self,
                  [this](UsageWindow reported) { advanceReported(reported); })
        , election_(HolderElection::Dependencies{dependencies.store, dependencies.leaseClock, *this,
                                                 dependencies.self, holderKey, reportKey,
                                                 dependencies.settings.leaseTime})
        , delivery_(ReportDelivery::Dependencies{
                  dependencies.store, dependencies.receiver, dependencies.leaseClock, *this,
                  dependencies.self.node, reportKey, dependencies.settings.callInterval})
        , timer_(dependencies.timers, *this, tickPeriod)
    {}

    void countsTaken(UsageSnapshot snapshot)
    {
        const WallTime wall = dependencies_.wallClock();
        mark_.apply(snapshot, dependencies_.leaseClock.now(), wall,
                    dependencies_.settings.windowPeriod);
        collector_.take(snapshot, wall);
        sender_.send(snapshot, collector_.snapshotsOfSilent(dependencies_.self, order_, wall),
                     sender_.targets(election_.holder(), order_));
    }

    UsageWindow snapshotReceived(const UsageSnapshot &snapshot)
    {
        collector_.take(snapshot, dependencies_.wallClock());
        return reported_;
    }

    void setMembers(std::vector<DutyHolder> members)
    {
        order_ = electionOrder(holderKey, std::move(members));
        election_.setOrder(order_);
    }

    void recordsChanged(const records::RecordTable &records)
    {
        const records::StoreRecord *record = records.find(reportKey);
        if (record != nullptr && record->revision > reportRevision_) {
            reportRevision_ = record->revision;
            if (const auto report = UsageReport::fromText(record->text))
                advanceReported(report->window);
        }
        election_.recordsChanged(records);
    }

    void beginStop() { election_.stop(); }

    UsageWindow reportedThrough() const { return reported_; }

    UsageStatus status() const
    {
        return UsageStatus{election_.holder(), election_.token().value_or(FencingToken{}),
                           reported_, collector_.endedWindows(dependencies_.wallClock())};
    }

private:
    void timerElapsed(core::timing::MonotonicTime /*now*/) override
    {
        for (const UsageWindow window : collector_.dropExpired(dependencies_.wallClock()))
            dependencies_.listener.countsDropped(window);
        election_.update();
        if (!election_.token())
            return;
        delivery_.update(election_.sendBefore());
        if (election_.token() && delivery_.isReady())
            deliverNext();
    }

    void deliverNext()
    {
        const nanoseconds waited = dependencies_.leaseClock.now() - waitingSince_;
        const auto selected = schedule_.select(collector_, reported_, order_, waited,
                                               dependencies_.wallClock());
        if (!selected)
            return;
        if (!selected->missing.empty())
            dependencies_.listener.reportIncomplete(selected->window, selected->missing);
        delivery_.deliver(UsageReport{selected->window, collector_.countsOf(selected->window), {}});
    }

    void advanceReported(UsageWindow reported)
    {
        reported_ = std::max(reported_, reported);
        collector_.forgetThrough(reported_);
    }

    void dutyGained(FencingToken token) override
    {
        waitingSince_ = dependencies_.leaseClock.now();
        delivery_.start(token);
        dependencies_.listener.dutyGained(token);
    }

    void dutyLost(FencingToken token, const std::string &reason) override
    {
        dependencies_.receiver.revoke(token);
        delivery_.stop();
        dependencies_.listener.dutyLost(token, reason);
    }

    void reportRecorded(const UsageReport &report) override
    {
        waitingSince_ = dependencies_.leaseClock.now();
        advanceReported(report.window);
    }

    void reportAccepted(const UsageReport &report) override
    {
        dependencies_.listener.reportAccepted(report);
    }

    void reportFailed(const UsageReport &report, const std::string &error) override
    {
        dependencies_.listener.reportFailed(report, error);
    }

    void tokenSuperseded(const std::string &reason) override
    {
        election_.resign(reason, HolderElection::restTime);
    }

    void receiverSilent() override
    {
        election_.resign("the receiver does not respond", HolderElection::incapableTime);
    }

    Dependencies dependencies_;
    UsageCollector collector_;
    ReportSchedule schedule_;
    SnapshotSender sender_;
    SnapshotMark mark_;
    HolderElection election_;
    ReportDelivery delivery_;
    // The live members in the order of the election.
    std::vector<DutyHolder> order_;
    UsageWindow reported_;
    // The revision of the last report seen in the records.
    Revision reportRevision_;
    // When the last report was recorded or the duty was gained, on the lease clock.
    nanoseconds waitingSince_{0};
    core::timing::ScopedTimer timer_;
};

UsageReporter::UsageReporter(const Dependencies &dependencies)
    : implementation_(std::make_unique<Implementation>(dependencies))
{}

UsageReporter::~UsageReporter() = default;

void UsageReporter::countsTaken(UsageSnapshot snapshot)
{
    implementation_->countsTaken(std::move(snapshot));
}

UsageWindow UsageReporter::snapshotReceived(const UsageSnapshot &snapshot)
{
    return implementation_->snapshotReceived(snapshot);
}

void UsageReporter::setMembers(std::vector<DutyHolder> members)
{
    implementation_->setMembers(std::move(members));
}

void UsageReporter::recordsChanged(const records::RecordTable &records)
{
    implementation_->recordsChanged(records);
}

void UsageReporter::beginStop()
{
    implementation_->beginStop();
}

UsageWindow UsageReporter::reportedThrough() const
{
    return implementation_->reportedThrough();
}

UsageStatus UsageReporter::status() const
{
    return implementation_->status();
}

} // namespace boragetrack::control::usage
