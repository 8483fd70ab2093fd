/** Selects the interface and the policies by the settings. Shutdown announces the departure to
    callers and peers first, then drains calls, then stops the threads. */
#include "daemon/Node.h"

#include "core/events/EventLog.h"
#include "daemon/environment/NativeEnvironment.h"
#include "daemon/environment/PlatformEnvironment.h"
#include "traffic/admission/AdaptiveConcurrency.h"
#include "traffic/admission/FixedConcurrency.h"
#include "traffic/admission/ObjectiveOrder.h"
#include "traffic/admission/UrgencyOrder.h"
#include "traffic/retry/BudgetedRetry.h"
#include "traffic/retry/PlainRetry.h"
#include "traffic/routing/OnTimeRouting.h"
#include "traffic/routing/RoundRobinRouting.h"

namespace boragetrack::daemon {

using core::events::EventCode;
using traffic::routing::RoutingSnapshot;

namespace {

// Maximum time for peers to close their links during a planned stop.
constexpr std::chrono::milliseconds linkCloseTimeout{1000};
// Maximum time for peers to acknowledge the final usage counts during a planned stop.
constexpr std::chrono::milliseconds finalCountsTimeout{600};
constexpr std::size_t bytesPerMegabyte = 1'000'000;

std::shared_ptr<const RoutingSnapshot> makeEmptySnapshot()
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->intent = std::make_shared<control::intent::IntentSnapshot>();
    return snapshot;
}

std::unique_ptr<traffic::admission::AdmissionPolicy> makeAdmissionPolicy(bool usesAnnouncedSlots)
{
    const traffic::admission::AdmissionLimits limits;
    if (usesAnnouncedSlots)
        return std::make_unique<traffic::admission::FixedConcurrency>(limits);
    return std::make_unique<traffic::admission::AdaptiveConcurrency>(limits);
}

std::unique_ptr<traffic::routing::RoutingPolicy>
makeRoutingPolicy(const settings::NodeSettings &settings)
{
    if (settings.usesBaselinePolicies)
        return std::make_unique<traffic::routing::RoundRobinRouting>();
    return std::make_unique<traffic::routing::OnTimeRouting>(settings.crossDataCentreCost);
}

std::unique_ptr<traffic::retry::RetryPolicy> makeRetryPolicy(const settings::NodeSettings &settings)
{
    if (settings.usesBaselinePolicies)
        return std::make_unique<traffic::retry::PlainRetry>();
    return std::make_unique<traffic::retry::BudgetedRetry>(settings.retryLimits);
}

std::unique_ptr<traffic::admission::QueueOrder> makeQueueOrder(bool isUrgencyFirst)
{
    if (isUrgencyFirst)
        return std::make_unique<traffic::admission::UrgencyOrder>();
    return std::make_unique<traffic::admission::ObjectiveOrder>();
}

} // namespace

Node::Node(settings::NodeSettings settings, environment::UsableMemory memory)
    : settings_(std::move(settings))
    , memory_(std::move(memory))
    , self_(selfRecord(settings_))
    , routing_(makeEmptySnapshot())
    , storeContact_(std::make_shared<const traffic::access::StoreContactTime>())
    , routingPolicy_(makeRoutingPolicy(settings_))
    , retryPolicy_(makeRetryPolicy(settings_))
    , environment_(makeEnvironment())
    , control_({settings_, self_, controlThread_, environment_->source(), routing_, revisions_,
                storeContact_, counters_, environment_->usage()})
    , peerMessages_(control_)
    , trafficThread_(
              {settings_.node,
               control::membership::processIdOf(self_),
               settings_.peers,
               settings_.callers,
               settings_.service,
               environment_->dialect(),
               peerMessages_,
               peerMessages_,
               routing_,
               traffic::access::KeyFreshness(settings_.keyFreshness),
               storeContact_,
               makeAdmissionPolicy(settings_.usesBaselinePolicies
                                   || settings_.interface == settings::NodeInterface::Platform),
               *routingPolicy_,
               *retryPolicy_,
               environment_->loopComponents(),
               [this](const control::moves::CallEvidence &evidence) {
                   control_.callEnded(evidence);
               },
               counters_,
               environment_->usage() != nullptr ? &environment_->usage()->sampler().meter()
                                                : nullptr,
               makeQueueOrder(settings_.isUrgencyFirst),
               memory_.bytes})
    , operatorHandler_({settings_, control_, revisions_, routing_, counters_})
    , operatorServer_(settings_.operators, operatorHandler_)
{}

Node::~Node()
{
    controlThread_.stop();
}

std::unique_ptr<environment::NodeEnvironment> Node::makeEnvironment()
{
    if (settings_.interface == settings::NodeInterface::Native)
        return std::make_unique<environment::NativeEnvironment>(
                settings_, counters_,
                [this](const std::string &text) { control_.storeValueReceived(text); });
    return std::make_unique<environment::PlatformEnvironment>(
            environment::PlatformEnvironment::Dependencies{
                    settings_, counters_, controlThread_,
                    [this](const std::function<void()> &task) { return trafficThread_.post(task); },
                    [this](const auto &announcement, const auto &onProcessed) {
                        control_.upstreamAnnounced(announcement, onProcessed);
                    },
                    [this]() { return routing_.current()->isServing; }, self_.version.generation});
}

absl::Status Node::start()
{
    controlThread_.start();
    if (const absl::Status status = trafficThread_.start(); !status.ok())
        return status;
    control_.start(trafficThread_, trafficThread_,
                   [this](const auto &status) { trafficThread_.setUpstream(status); });
    environment_->start();
    if (const absl::Status status = operatorServer_.start(); !status.ok())
        return status;
    core::events::logEvent(EventCode::NodeStarted, "node started",
                           {{"node", settings_.node.value()},
                            {"dataCentre", settings_.dataCentre.value()},
                            {"callers", settings_.callers.toString()},
                            {"peers", settings_.peers.toString()},
                            {"operators", settings_.operators.toString()},
                            {"memoryMegabytes", std::to_string(memory_.bytes / bytesPerMegabyte)},
                            {"memoryFrom", memory_.source},
                            {"memoryUnread", memory_.unreadSources}});
    return absl::OkStatus();
}

void Node::applySettings(const settings::NodeSettings &changed)
{
    if (!settings_.hasSameFixedSettings(changed))
        core::events::logEvent(EventCode::SettingsNeedRestart, "changed settings need a restart");
    trafficThread_.post(
            [this, limits = changed.retryLimits]() { retryPolicy_->setLimits(limits); });
}

bool Node::stop()
{
    core::events::logEvent(EventCode::NodeStopping, "node stopping");
    const environment::ShutdownPlan plan = environment_->shutdownPlan();
    const auto startedAt = std::chrono::steady_clock::now();
    const auto timeLeft = [&]() {
        const auto elapsed = std::chrono::steady_clock::now() - startedAt;
        return std::max(std::chrono::milliseconds::zero(),
                        plan.totalTimeout
                                - std::chrono::duration_cast<std::chrono::milliseconds>(elapsed));
    };
    environment_->requestStop();
    control_.leave();
    trafficThread_.beginCallerDrain(plan.callerGracePeriod);
    std::this_thread::sleep_for(plan.peerNoticePeriod);
    const bool isDrained = trafficThread_.drain(timeLeft());
    if (environment_->usage() != nullptr)
        environment_->usage()->sendFinalCounts(std::min(timeLeft(), finalCountsTimeout));
    const bool areLinksClosed = trafficThread_.closeLinks(std::min(timeLeft(), linkCloseTimeout));
    const bool areCallersDrained = trafficThread_.awaitCallerDrain(timeLeft());
    operatorServer_.stop();
    control_.stop();
    controlThread_.stop();
    trafficThread_.stop();
    const bool isEnvironmentStopped = environment_->stop();
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    core::events::logEvent(
            EventCode::NodeStopped, "node stopped",
            {{"drained", isDrained && areCallersDrained ? "yes" : "no"},
             {"links", areLinksClosed ? "closed" : "open"},
             {"ms",
              std::to_string(
                      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count())},
             {"cut", std::to_string(counters_.counter("calls_cut").value())}});
    return isEnvironmentStopped && isDrained && areCallersDrained;
}

control::membership::MemberRecord Node::selfRecord(const settings::NodeSettings &settings)
{
    control::membership::MemberRecord record;
    record.id = settings.node;
    record.dataCentre = settings.dataCentre;
    record.peerAddress = settings.advertisedPeerAddress;
    record.operatorAddress = settings.operators;
    record.version.generation = static_cast<std::uint64_t>(
            core::timing::currentWallTime().time_since_epoch().count());
    return record;
}

} // namespace boragetrack::daemon
