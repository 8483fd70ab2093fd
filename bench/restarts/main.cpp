/** bench-restarts: plays random restart plans and prints what they break as JSON. */
#include "emulator/restarts/ChangePlanGenerator.h"
#include "emulator/restarts/ConnectionPlanGenerator.h"
#include "emulator/restarts/PlanGenerator.h"
#include "emulator/restarts/PlanShrinker.h"
#include "emulator/restarts/RestartRules.h"
#include "emulator/restarts/RestartSimulation.h"
#include "restarts/ChangeDelayTable.h"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace boragetrack::emulator::restarts;
using boragetrack::bench::restarts::ChangeDelayTable;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int usageStatus = 2;
constexpr int violationStatus = 1;

/** The results of the runs so far. */
struct Summary
{
    std::mutex mutex;
    int runs = 0;
    std::uint64_t storeCalls = 0;
    std::vector<milliseconds> waits;
    // The run with the longest wait for an intent.
    std::uint64_t slowestSeed = 0;
    milliseconds longestWait{0};
    // The run with the longest time until a change was in force.
    std::uint64_t slowestChangeSeed = 0;
    milliseconds longestChangeDelay{0};
    std::uint64_t intentFetches = 0;
    ChangeDelayTable changeDelays;
    std::map<std::string, std::vector<std::uint64_t>> seedsByRule;
};

/** Distinguishes the generators of plans. */
enum class PlanKind { Restarts, Connections, Changes };

std::unique_ptr<PlanSource> makeSource(PlanKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PlanKind::Connections:
        return std::make_unique<ConnectionPlanGenerator>(seed);
    case PlanKind::Changes:
        return std::make_unique<ChangePlanGenerator>(seed);
    case PlanKind::Restarts:
        break;
    }
    return std::make_unique<PlanGenerator>(seed);
}

void recordChanges(const RestartResult &result, std::uint64_t seed, Summary &summary)
{
    bool isReserveExceeded = false;
    for (const ChangeDelay &change : result.changeDelays) {
        summary.changeDelays.add(change);
        isReserveExceeded = isReserveExceeded || exceedsReserve(change);
    }
    if (isReserveExceeded)
        summary.seedsByRule[changeReserveRule].push_back(seed);
}

void runSeeds(std::atomic<std::uint64_t> &next, std::uint64_t end, PlanKind kind, Summary &summary)
{
    for (std::uint64_t seed = next++; seed < end; seed = next++) {
        const RestartPlan plan = makeSource(kind, seed)->draw();
        const RestartResult result = RestartSimulation(plan, false).run();
        const std::lock_guard lock(summary.mutex);
        ++summary.runs;
        summary.storeCalls += static_cast<std::uint64_t>(result.storeCalls);
        summary.intentFetches += static_cast<std::uint64_t>(result.intentFetches);
        recordChanges(result, seed, summary);
        if (result.longestChangeDelay > summary.longestChangeDelay) {
            summary.longestChangeDelay = result.longestChangeDelay;
            summary.slowestChangeSeed = seed;
        }
        for (const milliseconds wait : result.intentWaits) {
            summary.waits.push_back(wait);
            if (wait <= summary.longestWait)
                continue;
            summary.longestWait = wait;
            summary.slowestSeed = seed;
        }
        for (const Violation &violation : result.violations) {
            auto &seeds = summary.seedsByRule[violation.rule];
            if (seeds.empty() || seeds.back() != seed)
                seeds.push_back(seed);
        }
    }
}

json toJson(Summary &summary)
{
    const auto late = std::count_if(summary.waits.begin(), summary.waits.end(),
                                    [](milliseconds wait) { return wait > milliseconds(1000); });
    json result{{"runs", summary.runs},
                {"store_calls", summary.storeCalls},
                {"intent_fetches", summary.intentFetches},
                {"change_delays_ms", summary.changeDelays.toJson()},
                {"restarts", summary.waits.size()},
                {"restarts_over_1_s", late},
                {"longest_wait_ms", summary.longestWait.count()},
                {"slowest_seed", summary.slowestSeed},
                {"longest_change_delay_ms", summary.longestChangeDelay.count()},
                {"slowest_change_seed", summary.slowestChangeSeed},
                {"violations", json::object()}};
    for (auto &[rule, seeds] : summary.seedsByRule) {
        std::sort(seeds.begin(), seeds.end());
        result["violations"][rule] = seeds;
    }
    return result;
}

// Kills a share of a fleet at once in an outage of the store.
RestartPlan herdPlan(std::uint64_t seed, std::size_t nodes, std::size_t dataCentres, double share)
{
    RestartPlan plan;
    plan.seed = seed;
    plan.nodeCount = nodes;
    plan.dataCentreCount = dataCentres;
    plan.length = milliseconds(18'000);
    RestartFault outage{RestartFaultKind::SilentStore, milliseconds(9900), milliseconds(7000), {}};
    RestartFault kill{RestartFaultKind::Kill, milliseconds(12'000), milliseconds(500), {}};
    std::mt19937_64 random(seed);
    for (std::size_t node = 0; node < nodes; ++node) {
        outage.nodes.insert(node);
        if (std::bernoulli_distribution(share)(random))
            kill.nodes.insert(node);
    }
    plan.faults = {outage, kill};
    return plan;
}

// Plays a fleet without faults in which changes follow each other at a constant interval.
RestartPlan steadyPlan(std::uint64_t seed, std::size_t nodes, std::size_t dataCentres,
                       milliseconds changePeriod)
{
    constexpr milliseconds firstChange{10'000};
    RestartPlan plan;
    plan.seed = seed;
    plan.nodeCount = nodes;
    plan.dataCentreCount = dataCentres;
    plan.length = milliseconds(70'000);
    for (milliseconds at = firstChange; at < plan.length; at += changePeriod)
        plan.faults.push_back({RestartFaultKind::Change, at, {}, {}});
    return plan;
}

void printSteady(const RestartPlan &plan)
{
    const RestartResult result = RestartSimulation(plan, false).run();
    ChangeDelayTable delays;
    for (const ChangeDelay &change : result.changeDelays)
        delays.add(change);
    std::cout << json{{"store_calls", result.storeCalls},
                      {"intent_fetches", result.intentFetches},
                      {"change_delays_ms", delays.toJson()}}
                         .dump()
              << "\n";
}

void printHerd(const RestartPlan &plan)
{
    const RestartResult result = RestartSimulation(plan, false).run();
    Summary summary;
    summary.runs = 1;
    summary.waits = result.intentWaits;
    for (const milliseconds wait : result.intentWaits)
        summary.longestWait = std::max(summary.longestWait, wait);
    json output = toJson(summary);
    output["peak_messages_received"] = result.peakLoad.messagesReceived;
    output["peak_intents_sent"] = result.peakLoad.intentsSent;
    std::cout << output.dump() << "\n";
}

void printRun(RestartPlan plan, const std::string &shrunkRule)
{
    if (!shrunkRule.empty())
        plan = shrink(plan,
                      [&](const RestartPlan &smaller) { return breaksRule(smaller, shrunkRule); });
    RestartSimulation simulation(plan, true);
    const RestartResult result = simulation.run();
    for (const std::string &line : simulation.log())
        std::cout << line << "\n";
    std::cout << describe(plan);
    for (const Violation &violation : result.violations)
        std::cout << violation.at.count() << " ms: " << violation.rule << ": " << violation.detail
                  << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("bench-restarts");
    description.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                              "the first seed")(
            "runs", options::value<std::uint64_t>()->default_value(1000), "number of seeds")(
            "herd", options::value<double>(),
            "play one kill of this share of a fleet in an outage of the store, and print the load")(
            "steady", options::value<std::int64_t>(),
            "play 60 s without faults with a change each so many ms, and print the load")(
            "nodes", options::value<std::size_t>()->default_value(300), "with --herd or --steady")(
            "data-centres", options::value<std::size_t>()->default_value(6),
            "with --herd or --steady")(
            "connections", "play plans in which connections and links fail, instead of restarts")(
            "changes", "play plans with one or two disturbances at a change, instead of restarts")(
            "threads", options::value<unsigned int>()->default_value(1),
            "number of threads")("log", "play the first seed only, and print what its nodes log")(
            "shrink", options::value<std::string>()->default_value(""),
            "with --log: reduce the plan first, as long as it breaks this rule");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return usageStatus;
    }
    const auto seed = arguments["seed"].as<std::uint64_t>();
    PlanKind kind = PlanKind::Restarts;
    if (arguments.count("connections") > 0)
        kind = PlanKind::Connections;
    else if (arguments.count("changes") > 0)
        kind = PlanKind::Changes;
    if (arguments.count("log") > 0) {
        printRun(makeSource(kind, seed)->draw(), arguments["shrink"].as<std::string>());
        return 0;
    }
    if (arguments.count("steady") > 0) {
        printSteady(steadyPlan(seed, arguments["nodes"].as<std::size_t>(),
                               arguments["data-centres"].as<std::size_t>(),
                               milliseconds(arguments["steady"].as<std::int64_t>())));
        return 0;
    }
    if (arguments.count("herd") > 0) {
        printHerd(herdPlan(seed, arguments["nodes"].as<std::size_t>(),
                           arguments["data-centres"].as<std::size_t>(),
                           arguments["herd"].as<double>()));
        return 0;
    }
    std::atomic<std::uint64_t> next{seed};
    const std::uint64_t end = seed + arguments["runs"].as<std::uint64_t>();
    Summary summary;
    std::vector<std::thread> threads;
    for (unsigned int i = 0; i < arguments["threads"].as<unsigned int>(); ++i)
        threads.emplace_back([&]() { runSeeds(next, end, kind, summary); });
    for (std::thread &thread : threads)
        thread.join();
    std::cout << toJson(summary).dump() << "\n";
    return summary.seedsByRule.empty() ? 0 : violationStatus;
}
