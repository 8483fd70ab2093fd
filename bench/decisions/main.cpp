/** bench-move-decisions: simulates the evaluation of moves for several kinds of new versions, with
    many seeds each, and prints the results as JSON. */
#include "control/moves/BaselineMovePolicies.h"
#include "control/moves/MoveCoordinator.h"
#include "control/moves/StandardMovePolicies.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

namespace {

using namespace boragetrack::control;
using boragetrack::core::identity::NodeId;
using boragetrack::core::identity::RouteName;
using boragetrack::core::identity::ServiceName;
using boragetrack::core::identity::VersionName;
using boragetrack::core::timing::WallTime;

constexpr std::chrono::seconds moveDuration{120};
constexpr std::chrono::milliseconds step{100};
constexpr int callsPerStep = 10;
constexpr int upstreamCount = 4;

/** Behaviour of the new version in one kind of run. */
struct Kind
{
    const char *name;
    double failRate;
    double slowdown;
    /** Fraction of the move's duration after which the new version is degraded. */
    double badFromFraction;
    bool isOneColdUpstream;
};

constexpr Kind kinds[]
        = {{"good", 0.0, 1.0, 0.0, false},       {"good_one_upstream_cold", 0.0, 1.0, 0.0, true},
           {"fails_all", 1.0, 1.0, 0.0, false},  {"fails_fifth", 0.2, 1.0, 0.0, false},
           {"fails_few", 0.05, 1.0, 0.0, false}, {"slow", 0.0, 8.0, 0.0, false},
           {"fails_late", 1.0, 1.0, 0.7, false}, {"slow_late", 0.0, 8.0, 0.7, false}};

class NullListener : public moves::MoveCoordinator::Listener
{
public:
    void moveStopped(const intent::MoveIntent & /*move*/, const std::string & /*text*/) override {}
};

/** Result of one run. */
struct RunResult
{
    bool isTakenBack = false;
    bool isDone = false;
    int badCalls = 0;
    /** Time from the first bad call to the verdict that stops the move. */
    std::chrono::milliseconds timeToStop{0};
};

intent::IntentDocument documentWithMove()
{
    intent::IntentDocument document;
    document.services.push_back({ServiceName("s"), VersionName("v1")});
    intent::Route route;
    route.name = RouteName("r");
    route.pathPrefix = "/r";
    route.service = ServiceName("s");
    document.routes.push_back(route);
    intent::MoveIntent move;
    move.id = "m";
    move.service = ServiceName("s");
    move.from = VersionName("v1");
    move.to = VersionName("v2");
    move.doneBy = move.startAt + moveDuration;
    document.moves.push_back(move);
    return document;
}

moves::CallEvidence drawCall(const Kind &kind, bool isNew, bool isBad, int upstream,
                             std::mt19937_64 &random)
{
    std::uniform_real_distribution<> chance(0.0, 1.0);
    std::lognormal_distribution<> milliseconds(1.0, 0.5);
    const bool isCold = kind.isOneColdUpstream && isNew && upstream == 0;
    const double factor = (isBad ? kind.slowdown : 1.0) * (isCold ? 6.0 : 1.0);
    moves::CallEvidence call;
    call.service = ServiceName("s");
    call.route = RouteName("r");
    call.version = VersionName(isNew ? "v2" : "v1");
    call.isFailed = chance(random) < (isBad ? kind.failRate : 0.005);
    call.latency = std::chrono::microseconds(
            static_cast<std::int64_t>(1000.0 * milliseconds(random) * factor));
    return call;
}

RunResult runOnce(const Kind &kind, std::unique_ptr<moves::MovePolicies> policies,
                  std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    NullListener listener;
    const intent::IntentDocument document = documentWithMove();
    moves::MoveCoordinator evaluator(NodeId("judge"), 1, std::move(policies), listener);
    evaluator.update(document, WallTime{});
    evaluator.setEvaluating(true);
    // The node of each upstream collects its own evidence, which the evaluator merges.
    std::vector<std::unique_ptr<moves::MoveCoordinator>> nodes;
    for (int i = 0; i < upstreamCount; ++i) {
        nodes.push_back(std::make_unique<moves::MoveCoordinator>(
                NodeId("n" + std::to_string(i)), 1, std::make_unique<moves::StandardMovePolicies>(),
                listener));
        nodes.back()->update(document, WallTime{});
    }
    RunResult result;
    std::optional<WallTime> firstBadCallAt;
    std::uniform_real_distribution<> percent(0.0, 100.0);
    for (WallTime now{}; now < WallTime{} + moveDuration; now += step) {
        const auto share
                = evaluator.shareOf(ServiceName("s"), RouteName("r"), VersionName("v1"), now);
        const double elapsed = std::chrono::duration<double>(now.time_since_epoch()) / moveDuration;
        for (int i = 0; i < callsPerStep; ++i) {
            const bool isNew = percent(random) < share.secondaryPercent;
            const bool isBad = isNew && elapsed >= kind.badFromFraction
                               && (kind.failRate > 0 || kind.slowdown > 1);
            const auto upstream = random() % upstreamCount;
            nodes[upstream]->recordCall(
                    drawCall(kind, isNew, isBad, static_cast<int>(upstream), random));
            result.badCalls += isBad;
            if (isBad && !firstBadCallAt)
                firstBadCallAt = now;
        }
        for (const auto &node : nodes)
            evaluator.mergeEvidence(node->localEvidence());
        if (!evaluator.verdicts().empty()) {
            result.isTakenBack = true;
            result.timeToStop
                    = firstBadCallAt ? now - *firstBadCallAt : std::chrono::milliseconds(0);
            return result;
        }
    }
    const auto records = evaluator.pendingRecords(WallTime{} + moveDuration,
                                                  [](const auto &, const auto &) { return true; });
    result.isDone = !records.empty() && records[0].state == intent::MoveState::Done;
    return result;
}

nlohmann::json runKind(const Kind &kind, bool isBaseline, int seeds)
{
    int takenBack = 0;
    int done = 0;
    long badCalls = 0;
    std::int64_t longestTimeToStop = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        std::unique_ptr<moves::MovePolicies> policies;
        if (isBaseline)
            policies = std::make_unique<moves::BaselineMovePolicies>();
        else
            policies = std::make_unique<moves::StandardMovePolicies>();
        const RunResult result
                = runOnce(kind, std::move(policies), static_cast<std::uint64_t>(seed) + 1);
        takenBack += result.isTakenBack;
        done += result.isDone;
        badCalls += result.badCalls;
        longestTimeToStop = std::max<std::int64_t>(longestTimeToStop, result.timeToStop.count());
    }
    return {{"taken_back", takenBack},
            {"done", done},
            {"bad_calls_mean", static_cast<double>(badCalls) / seeds},
            {"stop_after_shown_max_ms", longestTimeToStop}};
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 100;
    nlohmann::json result{{"seeds", seeds}};
    for (const Kind &kind : kinds) {
        result["standard"][kind.name] = runKind(kind, false, seeds);
        result["baseline"][kind.name] = runKind(kind, true, seeds);
    }
    std::cout << result.dump() << std::endl;
    return 0;
}
