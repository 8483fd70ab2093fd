/** Entry point of standin-upstream, which simulates a service. On a stop signal it announces that
    it is draining, and exits when all requests have ended. */
#include "core/concurrency/ProcessSignals.h"
#include "core/timing/WallTime.h"
#include "standins/upstream/Announcer.h"
#include "standins/upstream/UpstreamHandler.h"
#include "transport/http/HttpServer.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace boragetrack;

// Lets all nodes receive the announcement of draining before the listener closes.
constexpr std::chrono::milliseconds drainNoticePeriod{1500};

options::options_description describe()
{
    options::options_description description("standin-upstream");
    auto add = description.add_options();
    add("port", options::value<std::uint16_t>()->required(), "port to listen on");
    add("node-port", options::value<std::uint16_t>()->default_value(0),
        "operator port of the node");
    add("service", options::value<std::string>()->required(), "name of the service");
    add("version", options::value<std::string>()->default_value("v1"), "version of the service");
    add("journal", options::value<std::string>()->default_value(""), "file that records all runs");
    add("slots", options::value<int>()->default_value(10), "maximum concurrent requests");
    add("queue", options::value<int>()->default_value(40), "maximum waiting requests");
    add("service-us", options::value<int>()->default_value(2000), "service time");
    add("cold-ms", options::value<int>()->default_value(1500), "cold period after a start");
    add("fail-percent", options::value<int>()->default_value(0), "fault: percentage of failures");
    add("slowdown", options::value<int>()->default_value(1), "fault: factor of service time");
    add("bad-after-ms", options::value<int>()->default_value(0), "fault: only after this time");
    add("bad-from-in-flight", options::value<int>()->default_value(0),
        "fault: only from this load on");
    add("bad-prefix", options::value<std::string>()->default_value(""),
        "fault: only these targets");
    return description;
}

standins::upstream::UpstreamBehaviour behaviourFrom(const options::variables_map &values)
{
    standins::upstream::UpstreamBehaviour behaviour;
    behaviour.slots = values["slots"].as<int>();
    behaviour.queueLimit = values["queue"].as<int>();
    behaviour.serviceTime = std::chrono::microseconds(values["service-us"].as<int>());
    behaviour.coldDuration = std::chrono::milliseconds(values["cold-ms"].as<int>());
    behaviour.failPercent = values["fail-percent"].as<int>();
    behaviour.slowdown = values["slowdown"].as<int>();
    behaviour.degradedAfter = std::chrono::milliseconds(values["bad-after-ms"].as<int>());
    behaviour.degradedFromInFlight = values["bad-from-in-flight"].as<int>();
    behaviour.degradedTargetPrefix = values["bad-prefix"].as<std::string>();
    return behaviour;
}

nlohmann::json announcementFrom(const options::variables_map &values)
{
    return {{"service", values["service"].as<std::string>()},
            {"version", values["version"].as<std::string>()},
            {"host", "127.0.0.1"},
            {"port", values["port"].as<std::uint16_t>()},
            {"slots", values["slots"].as<int>()},
            {"state", "serving"},
            {"instance",
             std::to_string(core::timing::currentWallTime().time_since_epoch().count())}};
}

} // namespace

int main(int argc, char **argv)
{
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, describe()), values);
    options::notify(values);
    const sigset_t signals = core::concurrency::blockStopSignals();
    standins::upstream::UpstreamHandler handler(
            core::identity::VersionName(values["version"].as<std::string>()), behaviourFrom(values),
            values["journal"].as<std::string>());
    transport::http::HttpServer server({"127.0.0.1", values["port"].as<std::uint16_t>()}, handler);
    if (const absl::Status status = server.start(); !status.ok()) {
        std::cerr << status.message() << std::endl;
        return 1;
    }
    std::unique_ptr<standins::upstream::Announcer> announcer;
    const std::uint16_t nodePort = values["node-port"].as<std::uint16_t>();
    if (nodePort != 0)
        announcer = std::make_unique<standins::upstream::Announcer>(
                core::identity::NetworkAddress{"127.0.0.1", nodePort}, announcementFrom(values));
    core::concurrency::waitForStopSignal(signals);
    if (announcer) {
        announcer->announceDraining();
        std::this_thread::sleep_for(drainNoticePeriod);
    }
    handler.waitUntilIdle();
    std::_Exit(0);
}
