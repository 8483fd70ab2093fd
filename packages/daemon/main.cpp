/** boragetrackd: the node beside an upstream. */
#include "core/concurrency/ProcessSignals.h"
#include "core/events/EventLog.h"
#include "core/findings/TextFile.h"
#include "daemon/Node.h"
#include "daemon/settings/SettingsFile.h"
#include "daemon/settings/SettingsReader.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <malloc.h>

namespace {

namespace options = boost::program_options;

constexpr int wrongUse = 2;
// The settings file may change without a signal.
constexpr std::chrono::milliseconds settingsCheckPeriod{2000};
constexpr int startFailed = 1;
// Memory that one thread has freed serves the others: the few threads seldom allocate at the same
// time, and each arena of its own would keep the peak of a change of the intent.
constexpr int memoryArenas = 1;

int run(const std::string &settingsPath)
{
    using namespace boragetrack;
    core::findings::FindingList findings(settingsPath);
    const auto settings = daemon::settings::readSettingsFile(settingsPath, findings);
    if (!settings) {
        core::events::logEvent(core::events::EventCode::SettingsRefused, "settings refused");
        std::cerr << findings.toString() << std::endl;
        return wrongUse;
    }
    const sigset_t signals = core::concurrency::blockControlSignals();
    daemon::settings::SettingsFile file(settingsPath,
                                        core::findings::readTextFile(settingsPath).value_or(""));
    auto node = std::make_unique<daemon::Node>(*settings);
    if (const absl::Status status = node->start(); !status.ok()) {
        std::cerr << status.message() << std::endl;
        std::_Exit(startFailed);
    }
    while (core::concurrency::waitForSignal(signals, settingsCheckPeriod)
           != core::concurrency::SignalEvent::Stop) {
        if (const auto changed = file.readIfChanged())
            node->applySettings(*changed);
    }
    node->stop();
    // A watch that waits at the platform can not be interrupted; it holds nothing that needs care.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description(
            "boragetrackd: serves calls beside an upstream and keeps its intent in force");
    description.add_options()("help", "print this help")("settings", options::value<std::string>(),
                                                         "the settings file (JSON)");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << std::endl;
        return wrongUse;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (!values.contains("settings")) {
        std::cerr << "--settings FILE is required" << std::endl;
        return wrongUse;
    }
    mallopt(M_ARENA_MAX, memoryArenas);
    boragetrack::core::events::startLogging(argv[0]);
    return run(values["settings"].as<std::string>());
}
