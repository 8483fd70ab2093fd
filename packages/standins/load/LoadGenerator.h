/** Open-loop load generator that records the outcome of each call. */
#pragma once

#include "standins/load/CallerConnection.h"
#include "standins/load/LoadPlan.h"

#include <atomic>
#include <cstdio>
#include <mutex>

namespace boragetrack::standins::load {

/**
    Sends calls at scheduled times, regardless of the outcomes of earlier calls.

    Each connection has its own thread and takes the next call from a shared counter. When all
    connections are busy, calls start late.
*/
class LoadGenerator
{
public:
    /** Opens the log file for writing. */
    explicit LoadGenerator(LoadPlan plan);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /** Sends all calls of the plan; blocks until the last one has ended. */
    void run();

private:
    /** The result of one call, after all of its attempts. */
    struct CallResult
    {
        /** "ok" for a complete response to this request, "wrong" for status 200 with any other
            body, "failed" for any other status, "not-run" if the call certainly did not run, and
            "unknown" if it may have run. */
        std::string outcome;
        int attempts = 0;
        std::string version;
    };

    // The loop of one connection's thread.
    void runConnection(std::size_t index);
    // Sends a call, and retries it through the next node while it is not-run or unknown. Updates
    // the index of the connection's node.
    CallResult performCall(CallerConnection &connection, std::size_t &nodeIndex,
                           const transport::http::HttpRequest &request, const std::string &id);
    // Chooses the method from a hash of the id, so that a plan always sends the same calls.
    transport::http::HttpRequest makeRequest(std::uint64_t number, const std::string &id) const;
    // Writes a line with the start in milliseconds since 1970, the latency in microseconds, the
    // method, the target, the id, the outcome, the number of attempts and the version.
    void logCall(std::chrono::system_clock::time_point startedAt, std::chrono::nanoseconds latency,
                 const transport::http::HttpRequest &request, const std::string &id,
                 const CallResult &result);

    LoadPlan plan_;
    std::chrono::steady_clock::time_point start_;
    // The number of the next call, shared by all connections.
    std::atomic<std::uint64_t> next_{0};
    // Serialises writes to the log.
    std::mutex mutex_;
    std::FILE *log_;
};

} // namespace boragetrack::standins::load
