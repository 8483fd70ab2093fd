/** Entry point of boragetrackd: command line, signals and reloading of the settings file. */
#include "core/concurrency/ProcessSignals.h"
#include "core/events/EventLog.h"
#include "core/findings/TextFile.h"
#include "daemon/Node.h"
#include "daemon/environment/SystemMemory.h"
#include "daemon/settings/SettingsFile.h"
#include "daemon/settings/SettingsReader.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <malloc.h>

namespace {

namespace options = boost::program_options;

constexpr int usageErrorStatus = 2;
// The settings file is also checked without SIGHUP, because it may change without a signal.
constexpr std::chrono::milliseconds settingsCheckPeriod{2000};
constexpr int startFailureStatus = 1;
// All threads share one arena, so that memory freed by one thread is reused by the others. The few
// threads rarely allocate at the same time, and separate arenas would each keep the peak memory of
// a change of the intent.
constexpr int mallocArenas = 1;
// Larger blocks return to the system when they are freed. Without a fixed value the limit rises to
// the size of the largest body that was freed, and bodies and messages of links stay in the heap.
constexpr int mappedBlockBytes = 256 * 1024;
// The heap keeps this much at its end. It is the default value of glibc, which else rises with the
// limit above.
constexpr int heapSpareBytes = 128 * 1024;

int run(const std::string &settingsPath)
{
    using namespace boragetrack;
    core::findings::FindingList findings(settingsPath);
    const auto settings = daemon::settings::readSettingsFile(settingsPath, findings);
    if (!settings) {
        core::events::logEvent(core::events::EventCode::SettingsRefused, "settings refused");
        std::cerr << findings.toString() << std::endl;
        return usageErrorStatus;
    }
    const sigset_t signals = core::concurrency::blockControlSignals();
    daemon::settings::SettingsFile file(settingsPath,
                                        core::findings::readTextFile(settingsPath).value_or(""));
    auto node = std::make_unique<daemon::Node>(
            *settings,
            daemon::environment::UsableMemory::select(
                    settings->memoryBytes, daemon::environment::readSystemMemoryLimits()));
    if (const absl::Status status = node->start(); !status.ok()) {
        std::cerr << status.message() << std::endl;
        std::_Exit(startFailureStatus);
    }
    while (core::concurrency::waitForSignal(signals, settingsCheckPeriod)
           != core::concurrency::SignalEvent::Stop) {
        if (const auto changed = file.readIfChanged())
            node->applySettings(*changed);
    }
    node->stop();
    // Exits without waiting for a watch at the platform, which cannot be interrupted and holds no
    // state that needs cleanup.
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    options::options_description description("boragetrackd: routes calls and forwards them to the "
                                             "upstream on this VM, as the intent says");
    description.add_options()("help", "print this help")("settings", options::value<std::string>(),
                                                         "the settings file (JSON)");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << std::endl;
        return usageErrorStatus;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (!values.contains("settings")) {
        std::cerr << "--settings FILE is required" << std::endl;
        return usageErrorStatus;
    }
    mallopt(M_ARENA_MAX, mallocArenas);
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, heapSpareBytes);
    boragetrack::core::events::startLogging(argv[0]);
    return run(values["settings"].as<std::string>());
}
