/** standin-load: takes the place of callers. */
#include "standins/load/LoadGenerator.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace boragetrack;
using Texts = std::vector<std::string>;

options::options_description describe()
{
    options::options_description description("standin-load");
    auto add = description.add_options();
    add("target", options::value<std::vector<std::uint16_t>>()->required()->multitoken(),
        "ports of nodes");
    add("read", options::value<Texts>()->default_value(Texts(), "")->multitoken(), "paths to get");
    add("post", options::value<Texts>()->default_value(Texts(), "")->multitoken(),
        "paths to post to");
    add("post-percent", options::value<int>()->default_value(50), "posts per hundred calls");
    add("connections", options::value<int>()->default_value(16), "connections");
    add("rate", options::value<double>()->default_value(200.0), "calls a second");
    add("seconds", options::value<double>()->default_value(5.0), "duration");
    add("timeout-ms", options::value<int>()->default_value(3000), "time for one try");
    add("tries", options::value<int>()->default_value(3), "tries for one call");
    add("body-bytes", options::value<std::size_t>()->default_value(100), "bytes of a post");
    add("id-prefix", options::value<std::string>()->default_value("c"), "begins request ids");
    add("log", options::value<std::string>()->required(), "file for a line of each call");
    return description;
}

standins::load::LoadPlan planFrom(const options::variables_map &values)
{
    standins::load::LoadPlan plan;
    for (const std::uint16_t port : values["target"].as<std::vector<std::uint16_t>>())
        plan.nodes.push_back({"127.0.0.1", port});
    plan.readPaths = values["read"].as<Texts>();
    plan.postPaths = values["post"].as<Texts>();
    plan.postPercent = values["post-percent"].as<int>();
    plan.connections = values["connections"].as<int>();
    plan.rate = values["rate"].as<double>();
    plan.duration = std::chrono::milliseconds(
            static_cast<std::int64_t>(values["seconds"].as<double>() * 1000));
    plan.timeout = std::chrono::milliseconds(values["timeout-ms"].as<int>());
    plan.maximumAttempts = values["tries"].as<int>();
    plan.bodyBytes = values["body-bytes"].as<std::size_t>();
    plan.idPrefix = values["id-prefix"].as<std::string>();
    plan.logPath = values["log"].as<std::string>();
    return plan;
}

} // namespace

int main(int argc, char **argv)
{
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, describe()), values);
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << std::endl;
        return 2;
    }
    standins::load::LoadGenerator(planFrom(values)).run();
    return 0;
}
