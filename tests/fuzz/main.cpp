/** Runs one fuzz target for some time, in a build with sanitizers:
    fuzz TARGET SECONDS RANDOM-SEED CRASH-FILE

    The input that ended the process stays in CRASH-FILE. */
#include "tests/fuzz/FuzzTargets.h"
#include "tests/fuzz/Mutator.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace {

std::string currentInput;
std::string crashFile;

// Sanitizers end the process by this signal if abort_on_error is set. Uses async-signal-safe calls
// only.
void handleAbort(int /*signal*/)
{
    const int file = open(crashFile.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    if (file < 0 || write(file, currentInput.data(), currentInput.size()) < 0)
        _exit(3);
    _exit(2);
}

} // namespace

int main(int argc, char *argv[])
{
    using namespace boragetrack::tests;
    const auto targets = makeFuzzTargets();
    const auto target = argc == 5 ? targets.find(argv[1]) : targets.end();
    if (target == targets.end()) {
        std::cerr << "usage: fuzz TARGET SECONDS RANDOM-SEED CRASH-FILE; targets:";
        for (const auto &entry : targets)
            std::cerr << " " << entry.first;
        std::cerr << "\n";
        return 64;
    }
    crashFile = argv[4];
    std::signal(SIGABRT, handleAbort);
    Mutator mutator(target->second->seeds(), std::strtoull(argv[3], nullptr, 10));
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::atoi(argv[2]));
    std::uint64_t inputs = 0;
    while (std::chrono::steady_clock::now() < end) {
        currentInput = mutator.next();
        const auto difference = target->second->run(currentInput, mutator.cutsOf(currentInput));
        ++inputs;
        if (!difference)
            continue;
        std::ofstream(crashFile) << currentInput;
        std::cerr << "input " << inputs << " is read differently\n" << *difference << "\n";
        return 1;
    }
    std::cout << target->first << " seed " << argv[3] << ": " << inputs << " inputs\n";
    return 0;
}
