/** standin-platform: takes the place of the platform's key-value service. */
#include "core/concurrency/ProcessSignals.h"
#include "standins/platform/PlatformHandler.h"
#include "transport/http/HttpServer.h"

#include <boost/program_options.hpp>
#include <iostream>

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    using namespace boragetrack;
    options::options_description description("standin-platform");
    description.add_options()("port", options::value<std::uint16_t>()->required(), "port");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    const sigset_t signals = core::concurrency::blockStopSignals();
    standins::platform::PlatformHandler handler;
    transport::http::HttpServer server({"127.0.0.1", values["port"].as<std::uint16_t>()}, handler);
    if (const absl::Status status = server.start(); !status.ok()) {
        std::cerr << status.message() << std::endl;
        return 1;
    }
    core::concurrency::waitForStopSignal(signals);
    // Watches that wait need not be waited for.
    std::_Exit(0);
}
