/** bench-load: simulates load plans with several sets of policies and prints the results as JSON.
 */
#include "core/findings/SchemaValidator.h"
#include "core/findings/TextFile.h"
#include "emulator/emulator.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace boragetrack::emulator;
using boragetrack::core::findings::FindingList;
using nlohmann::json;

constexpr int usageStatus = 2;

std::vector<std::unique_ptr<policies::PolicySet>> allPolicies()
{
    std::vector<std::unique_ptr<policies::PolicySet>> all;
    all.push_back(std::make_unique<policies::BaselinePolicies>());
    all.push_back(std::make_unique<policies::TwoChoicesPolicies>());
    all.push_back(std::make_unique<policies::StandardPolicies>());
    all.push_back(std::make_unique<policies::UrgencyPolicies>());
    all.push_back(std::make_unique<policies::NestedFirstPolicies>());
    return all;
}

json runPolicies(const plan::LoadPlan &plan, std::uint64_t seed, int runCount,
                 const std::string &only)
{
    json result = {{"plan", plan.name}, {"seed", seed}, {"policies", json::object()}};
    for (const auto &set : allPolicies()) {
        if (!only.empty() && set->name() != only)
            continue;
        json runs = json::array();
        for (int i = 0; i < runCount; ++i) {
            simulation::LoadSimulation simulation(plan, *set, seed + static_cast<std::uint64_t>(i));
            runs.push_back(results::toJson(simulation.run()));
        }
        result["policies"][set->name()] = runs;
    }
    return result;
}

std::optional<plan::LoadPlan> readPlan(const std::string &path)
{
    FindingList findings(path);
    const auto text = boragetrack::core::findings::readTextFile(path);
    if (!text)
        findings.add("", "cannot be opened");
    const json object
            = text ? boragetrack::core::findings::parseJson(*text, findings) : json::object();
    std::optional<plan::LoadPlan> plan;
    if (findings.isEmpty())
        plan = plan::readLoadPlan(object, findings);
    if (!plan)
        std::cerr << findings.toString();
    return plan;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("bench-load PLAN.json...");
    description.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                              "seed of the first run; further runs use the next ones")(
            "days", options::value<int>()->default_value(1),
            "number of runs for each set of policies")(
            "policy", options::value<std::string>()->default_value(""),
            "name of the only set of policies to run")(
            "plan", options::value<std::vector<std::string>>(), "load plan files");
    options::positional_options_description positionalArguments;
    positionalArguments.add("plan", -1);
    options::variables_map arguments;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(description)
                               .positional(positionalArguments)
                               .run(),
                       arguments);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << description;
        return usageStatus;
    }
    if (arguments.count("plan") == 0) {
        std::cerr << description;
        return usageStatus;
    }
    json results = json::array();
    for (const auto &path : arguments["plan"].as<std::vector<std::string>>()) {
        const auto plan = readPlan(path);
        if (!plan)
            return usageStatus;
        results.push_back(runPolicies(*plan, arguments["seed"].as<std::uint64_t>(),
                                      arguments["days"].as<int>(),
                                      arguments["policy"].as<std::string>()));
    }
    std::cout << results.dump() << "\n";
    return 0;
}
