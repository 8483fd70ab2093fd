/** bench-load: plays load plans with several policies and prints the accounts as JSON. */
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
    all.push_back(std::make_unique<policies::SimplePolicies>());
    all.push_back(std::make_unique<policies::FormerPolicies>());
    all.push_back(std::make_unique<policies::PresentPolicies>());
    return all;
}

json play(const plan::LoadPlan &plan, std::uint64_t seed, int days, const std::string &only)
{
    json result = {{"plan", plan.name}, {"seed", seed}, {"policies", json::object()}};
    for (const auto &set : allPolicies()) {
        if (!only.empty() && set->name() != only)
            continue;
        json runs = json::array();
        for (int i = 0; i < days; ++i) {
            day::EmulatedDay day(plan, *set, seed + static_cast<std::uint64_t>(i));
            runs.push_back(account::toJson(day.play()));
        }
        result["policies"][set->name()] = runs;
    }
    return result;
}

std::optional<plan::LoadPlan> planFrom(const std::string &path)
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
    options::options_description described("bench-load PLAN.json...");
    described.add_options()("seed", options::value<std::uint64_t>()->default_value(1),
                            "first seed")("days", options::value<int>()->default_value(1),
                                          "days for each policy")(
            "policy", options::value<std::string>()->default_value(""),
            "only this one")("plan", options::value<std::vector<std::string>>(), "load plans");
    options::positional_options_description positions;
    positions.add("plan", -1);
    options::variables_map given;
    try {
        options::store(options::command_line_parser(argc, argv)
                               .options(described)
                               .positional(positions)
                               .run(),
                       given);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n" << described;
        return usageStatus;
    }
    if (given.count("plan") == 0) {
        std::cerr << described;
        return usageStatus;
    }
    json results = json::array();
    for (const auto &path : given["plan"].as<std::vector<std::string>>()) {
        const auto plan = planFrom(path);
        if (!plan)
            return usageStatus;
        results.push_back(play(*plan, given["seed"].as<std::uint64_t>(), given["days"].as<int>(),
                               given["policy"].as<std::string>()));
    }
    std::cout << results.dump() << "\n";
    return 0;
}
