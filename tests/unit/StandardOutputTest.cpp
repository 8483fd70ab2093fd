/** Tests that no thread waits for the reader of a pipe to which several threads write. */
#include "core/events/StandardOutput.h"

#include <gtest/gtest.h>

#include <array>
#include <barrier>
#include <chrono>
#include <cstdio>
#include <fcntl.h>
#include <future>
#include <string>
#include <unistd.h>

using boragetrack::core::events::StandardOutput;
using std::chrono::milliseconds;

namespace {

constexpr int writers = 4;
constexpr int rounds = 400;
constexpr int linesPerRound = 8;
constexpr std::size_t lineBytes = 3000;
constexpr milliseconds blockedAfter{2000};

/** Replaces standard output by a pipe with room for one page, until it is destroyed. */
class ScopedOutputPipe
{
public:
    ScopedOutputPipe()
    {
        std::fflush(stdout);
        EXPECT_EQ(pipe2(ends_.data(), O_CLOEXEC), 0);
        fcntl(ends_[1], F_SETPIPE_SZ, static_cast<int>(StandardOutput::maximumLineBytes));
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        dup2(ends_[1], STDOUT_FILENO);
    }

    ~ScopedOutputPipe()
    {
        dup2(saved_, STDOUT_FILENO);
        close(saved_);
        close(ends_[0]);
        close(ends_[1]);
    }

    ScopedOutputPipe(const ScopedOutputPipe &) = delete;
    ScopedOutputPipe &operator=(const ScopedOutputPipe &) = delete;

    /** Reads all that is in the pipe. */
    void drain() const
    {
        std::array<char, StandardOutput::maximumLineBytes> bytes{};
        while (read(ends_[0], bytes.data(), bytes.size()) > 0) {
        }
    }

private:
    const int saved_ = dup(STDOUT_FILENO);
    std::array<int, 2> ends_{};
};

// Lets several threads write at the same time to a pipe that nobody reads. Returns whether a thread
// had to wait until it was read.
bool doWritersBlock(const ScopedOutputPipe &output)
{
    std::barrier start(writers);
    std::array<std::future<void>, writers> writing;
    for (auto &writer : writing)
        writer = std::async(std::launch::async, [&start]() {
            start.arrive_and_wait();
            for (int line = 0; line < linesPerRound; ++line)
                StandardOutput::instance().write(std::string(lineBytes, 'x'));
        });
    bool isBlocked = false;
    for (auto &writer : writing) {
        while (writer.wait_for(blockedAfter) != std::future_status::ready) {
            isBlocked = true;
            output.drain();
        }
    }
    output.drain();
    return isBlocked;
}

} // namespace

// Guards against a control thread that stops in a log line until the reader of the log continues.
TEST(StandardOutput, doesNotBlockWhenSeveralThreadsFillAPipe)
{
    int blockedRounds = 0;
    {
        const ScopedOutputPipe output;
        for (int round = 0; round < rounds && blockedRounds == 0; ++round)
            blockedRounds += doWritersBlock(output) ? 1 : 0;
    }
    EXPECT_EQ(blockedRounds, 0);
}
