/** Implements Node. */
#include "daemon/Node.h"

#include "core/events/EventLog.h"
#include "traffic/admission/AdaptiveConcurrency.h"
#include "traffic/admission/FixedConcurrency.h"
#include "traffic/retry/BudgetedRetry.h"
#include "traffic/retry/PlainRetry.h"
#include "traffic/routing/RoundRobinRouting.h"
#include "traffic/routing/TwoChoicesRouting.h"

namespace boragetrack::daemon {

using core::events::EventCode;
using traffic::routing::RoutingSnapshot;

namespace {

// Peers hear of the departure and send their new work elsewhere before it is refused here.
constexpr std::chrono::milliseconds departureNotice{300};
constexpr std::chrono::milliseconds drainTime{15'000};

std::shared_ptr<const RoutingSnapshot> emptySnapshot()
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->intent = std::make_shared<control::intent::IntentSnapshot>();
    return snapshot;
}

std::unique_ptr<traffic::admission::AdmissionPolicy> admissionPolicy(bool isBaseline)
{
    const traffic::admission::AdmissionLimits limits;
    if (isBaseline)
        return std::make_unique<traffic::admission::FixedConcurrency>(limits);
    return std::make_unique<traffic::admission::AdaptiveConcurrency>(limits);
}

std::unique_ptr<traffic::routing::RoutingPolicy> makeRoutingPolicy(bool isBaseline)
{
    if (isBaseline)
        return std::make_unique<traffic::routing::RoundRobinRouting>();
    return std::make_unique<traffic::routing::TwoChoicesRouting>();
}

std::unique_ptr<traffic::retry::RetryPolicy> makeRetryPolicy(bool isBaseline)
{
    if (isBaseline)
        return std::make_unique<traffic::retry::PlainRetry>();
    return std::make_unique<traffic::retry::BudgetedRetry>();
}

} // namespace

Node::Node(settings::NodeSettings settings)
    : settings_(std::move(settings))
    , self_(selfRecord(settings_))
    , routing_(emptySnapshot())
    , routingPolicy_(makeRoutingPolicy(settings_.usesBaselinePolicies))
    , retryPolicy_(makeRetryPolicy(settings_.usesBaselinePolicies))
    , store_(settings_.platform, httpClient_)
    , watcher_(store_, counters_,
               [this](const std::string &text) { control_.storeValueReceived(text); })
    , recorder_(store_, settings_.node, counters_)
    , control_({settings_, self_, controlThread_, watcher_, recorder_, routing_, revisions_,
                counters_})
    , links_({settings_.node,
              control::membership::processIdOf(self_),
              settings_.peers,
              settings_.callers,
              {},
              dialect_,
              control_,
              control_,
              routing_,
              admissionPolicy(settings_.usesBaselinePolicies),
              *routingPolicy_,
              *retryPolicy_,
              {},
              [this](const control::moves::CallEvidence &evidence) {
                  control_.callEnded(evidence);
              },
              counters_})
    , operatorHandler_({settings_, control_, revisions_, routing_, counters_})
    , operatorServer_(settings_.operators, operatorHandler_)
{}

Node::~Node()
{
    controlThread_.stop();
}

absl::Status Node::start()
{
    controlThread_.start();
    if (const absl::Status status = links_.start(); !status.ok())
        return status;
    control_.start(links_, [this](const auto &status) { links_.setUpstream(status); });
    watcher_.start();
    recorder_.start();
    if (const absl::Status status = operatorServer_.start(); !status.ok())
        return status;
    core::events::logEvent(EventCode::NodeStarted, "node started",
                           {{"node", settings_.node.value()},
                            {"dataCentre", settings_.dataCentre.value()},
                            {"callers", settings_.callers.toString()},
                            {"peers", settings_.peers.toString()},
                            {"operators", settings_.operators.toString()}});
    return absl::OkStatus();
}

bool Node::stop()
{
    core::events::logEvent(EventCode::NodeStopping, "node stopping");
    watcher_.requestStop();
    links_.stopCallers(true);
    control_.leave();
    links_.awaitQuietCallers({}, drainTime);
    std::this_thread::sleep_for(departureNotice);
    const bool isDrained = links_.drain(drainTime);
    const bool isQuiet = links_.awaitQuietCallers({}, drainTime);
    operatorServer_.stop();
    control_.stop();
    controlThread_.stop();
    links_.stop();
    recorder_.stop();
    core::events::logEvent(EventCode::NodeStopped, "node stopped",
                           {{"drained", isDrained && isQuiet ? "yes" : "no"}});
    return watcher_.tryJoin() && isDrained && isQuiet;
}

control::membership::MemberRecord Node::selfRecord(const settings::NodeSettings &settings)
{
    control::membership::MemberRecord record;
    record.id = settings.node;
    record.dataCentre = settings.dataCentre;
    record.peerAddress = settings.peers;
    record.operatorAddress = settings.operators;
    record.version.generation = static_cast<std::uint64_t>(
            core::timing::currentWallTime().time_since_epoch().count());
    return record;
}

} // namespace boragetrack::daemon
