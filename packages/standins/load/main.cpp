/** Entry point of standin-load, which simulates callers of nodes on this host. */
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
        "caller ports of nodes");
    add("read", options::value<Texts>()->default_value(Texts(), "")->multitoken(),
        "paths for GET requests");
    add("post", options::value<Texts>()->default_value(Texts(), "")->multitoken(),
        "paths for POST requests");
    add("post-percent", options::value<int>()->default_value(50), "percentage of POST requests");
    add("connections", options::value<int>()->default_value(16), "number of connections");
    add("rate", options::value<double>()->default_value(200.0), "calls per second");
    add("seconds", options::value<double>()->default_value(5.0), "duration in seconds");
    add("timeout-ms", options::value<int>()->default_value(3000), "timeout of one attempt");
    add("tries", options::value<int>()->default_value(3), "maximum attempts per call");
    add("body-bytes", options::value<std::size_t>()->default_value(100),
        "body size of a POST request");
    add("id-prefix", options::value<std::string>()->default_value("c"), "prefix of request ids");
    add("log", options::value<std::string>()->required(), "file with one line per call");
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
