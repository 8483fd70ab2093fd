/** Sends load and records what became of each call. */
#pragma once

#include "standins/load/CallerConnection.h"
#include "standins/load/LoadPlan.h"

#include <atomic>
#include <cstdio>
#include <mutex>

namespace boragetrack::standins::load {

/** Sends calls at their planned times, whatever became of earlier ones, as far as connections are
    free. */
class LoadGenerator
{
public:
    explicit LoadGenerator(LoadPlan plan);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /** Sends the whole plan; blocks until the last call ended. */
    void run();

private:
    /** The end of one call. */
    struct CallResult
    {
        /** ok, not-run, unknown, failed or wrong. */
        std::string outcome;
        int attempts = 0;
        std::string version;
    };

    void runConnection(std::size_t index);
    CallResult performCall(CallerConnection &connection, std::size_t &target,
                           const transport::http::HttpRequest &request, const std::string &id);
    transport::http::HttpRequest makeRequest(std::uint64_t number, const std::string &id) const;
    void logCall(std::chrono::system_clock::time_point at, std::chrono::nanoseconds latency,
                 const transport::http::HttpRequest &request, const std::string &id,
                 const CallResult &result);

    LoadPlan plan_;
    std::chrono::steady_clock::time_point start_;
    std::atomic<std::uint64_t> next_{0};
    std::mutex mutex_;
    std::FILE *log_;
};

} // namespace boragetrack::standins::load
