/** Samples are posted from the traffic thread; the last reported window is posted back to it, so
    that the meter forgets what was reported. */
#include "daemon/usage/UsageService.h"

#include <algorithm>
#include <future>

namespace boragetrack::daemon::usage {

using control::membership::MemberState;
using control::usage::DutyHolder;
using control::usage::UsageReporter;
using control::usage::UsageSnapshot;
using control::usage::UsageWindow;

UsageService::UsageService(Dependencies dependencies)
    : dependencies_(std::move(dependencies))
    , events_(dependencies_.counters)
    , sampler_(dependencies_.settings.windowPeriod, [this](UsageSampler::Sample sample) {
        dependencies_.controlThread.post(
                [this, sample = std::move(sample)]() { takeSample(sample); });
    })
{}

UsageService::~UsageService() = default;

void UsageService::start(control::usage::UsageTransport &transport,
                         const control::distribution::ControlPlane &plane)
{
    plane_ = &plane;
    transport_.emplace(transport, dependencies_.self.node, dependencies_.self.generation);
    reporter_ = std::make_unique<UsageReporter>(UsageReporter::Dependencies{
            dependencies_.store, dependencies_.receiver, *transport_, dependencies_.controlThread,
            dependencies_.leaseClock, core::timing::currentWallTime, events_, dependencies_.self,
            dependencies_.settings});
    update();
}

void UsageService::stop()
{
    reporter_.reset();
    transport_.reset();
    plane_ = nullptr;
}

void UsageService::update()
{
    if (!reporter_)
        return;
    if (haveMembersChanged_)
        reporter_->setMembers(liveMembers());
    haveMembersChanged_ = false;
    forgetReported();
}

UsageWindow UsageService::snapshotReceived(const UsageSnapshot &snapshot)
{
    return reporter_ ? reporter_->snapshotReceived(snapshot) : UsageWindow{};
}

void UsageService::beginStop()
{
    if (reporter_)
        reporter_->beginStop();
}

void UsageService::sendFinalCounts(std::chrono::milliseconds timeout)
{
    auto sent = std::make_shared<std::promise<void>>();
    auto whenSent = sent->get_future();
    dependencies_.trafficThread([this, sent]() {
        dependencies_.controlThread.post([this, sent, sample = sampler_.takeFinal()]() {
            takeFinalSample(sample, [sent]() { sent->set_value(); });
        });
    });
    sent.reset();
    whenSent.wait_for(timeout);
}

nlohmann::json UsageService::status() const
{
    if (!reporter_)
        return {};
    const control::usage::UsageStatus status = reporter_->status();
    nlohmann::json report{{"node", dependencies_.self.node.value()},
                          {"token", status.token.number()},
                          {"reportedThrough", status.reportedThrough.number()},
                          {"windowsWaiting", status.windowsWaiting},
                          {"holder", nullptr}};
    if (status.holder)
        report["holder"] = {{"node", status.holder->node.value()},
                            {"generation", status.holder->generation},
                            {"address", status.holder->address.toString()}};
    return report;
}

void UsageService::recordsChanged(const control::records::RecordTable &records)
{
    if (!reporter_)
        return;
    reporter_->recordsChanged(records);
    forgetReported();
}

//==============================================================================
void UsageService::takeSample(const UsageSampler::Sample &sample)
{
    for (const UsageWindow window : sample.dropped)
        events_.countsDropped(window);
    if (!reporter_)
        return;
    reporter_->countsTaken(UsageSnapshot{dependencies_.self.node, dependencies_.self.generation,
                                         ++lastSequence_, sample.windows});
    forgetReported();
}

void UsageService::takeFinalSample(const UsageSampler::Sample &sample,
                                   const std::function<void()> &whenSent)
{
    const bool hasCounts = std::any_of(sample.windows.begin(), sample.windows.end(),
                                       [](const auto &window) { return !window.counts.empty(); });
    if (!reporter_ || !hasCounts) {
        whenSent();
        return;
    }
    transport_->notifyWhenAcknowledged(whenSent);
    takeSample(sample);
    // Without a peer nothing is sent.
    if (!transport_->isAwaited()) {
        transport_->notifyWhenAcknowledged({});
        whenSent();
    }
}

void UsageService::forgetReported()
{
    const UsageWindow reported = reporter_->reportedThrough();
    if (reported <= forgottenThrough_)
        return;
    forgottenThrough_ = reported;
    events_.setReportedThrough(reported);
    dependencies_.trafficThread([this, reported]() { sampler_.meter().forgetThrough(reported); });
}

std::vector<DutyHolder> UsageService::liveMembers() const
{
    std::vector<DutyHolder> members{dependencies_.self};
    for (const auto &[id, record] : plane_->membership().table().records()) {
        if (record.state == MemberState::Alive && id != dependencies_.self.node)
            members.push_back({id, record.version.generation, record.peerAddress});
    }
    return members;
}

} // namespace boragetrack::daemon::usage
