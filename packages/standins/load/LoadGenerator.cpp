/** Schedules call n for n / rate seconds after the start. Classifies responses by the headers of
    the node and the body of the upstream stand-in. */
#include "standins/load/LoadGenerator.h"

#include "core/hashing/StableHash.h"
#include "traffic/calls/CallHeaders.h"

#include <strings.h>
#include <thread>

namespace boragetrack::standins::load {

using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

constexpr std::chrono::milliseconds retryInterval{20};
constexpr unsigned int percent = 100;

std::string headerValue(const HttpResponse &response, const char *name)
{
    for (const auto &field : response.headers) {
        if (strcasecmp(field.name.c_str(), name) == 0)
            return field.value;
    }
    return {};
}

std::string classifyResponse(const HttpResponse &response, const std::string &id,
                             std::size_t bodyBytes)
{
    const std::string outcome = headerValue(response, traffic::calls::outcomeHeader);
    if (outcome == "not-run" || outcome == "unknown")
        return outcome;
    if (response.status != 200)
        return "failed";
    // A complete response to this request contains its id and the length of its body.
    const std::string expected = "id=" + id + " length=" + std::to_string(bodyBytes) + " version=";
    const bool isComplete = response.body.rfind(expected, 0) == 0 && response.body.back() == '\n';
    return isComplete ? "ok" : "wrong";
}

} // namespace

LoadGenerator::LoadGenerator(LoadPlan plan)
    : plan_(std::move(plan))
    , log_(std::fopen(plan_.logPath.c_str(), "w"))
{}

LoadGenerator::~LoadGenerator()
{
    if (log_ != nullptr)
        std::fclose(log_);
}

void LoadGenerator::run()
{
    start_ = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(plan_.connections));
    for (int i = 0; i < plan_.connections; ++i)
        threads.emplace_back([this, i]() { runConnection(static_cast<std::size_t>(i)); });
    for (std::thread &thread : threads)
        thread.join();
}

void LoadGenerator::runConnection(std::size_t index)
{
    kj::AsyncIoContext io = kj::setupAsyncIo();
    CallerConnection connection(io);
    std::size_t nodeIndex = index % plan_.nodes.size();
    const std::chrono::duration<double> interval(1.0 / plan_.rate);
    while (true) {
        const std::uint64_t number = next_.fetch_add(1);
        const auto due = start_
                         + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                 interval * static_cast<double>(number));
        if (due - start_ >= plan_.duration)
            return;
        std::this_thread::sleep_until(due);
        const std::string id = plan_.idPrefix + std::to_string(number);
        const HttpRequest request = makeRequest(number, id);
        const auto startedAt = std::chrono::system_clock::now();
        const auto startTime = std::chrono::steady_clock::now();
        const CallResult result = performCall(connection, nodeIndex, request, id);
        logCall(startedAt, std::chrono::steady_clock::now() - startTime, request, id, result);
    }
}

LoadGenerator::CallResult LoadGenerator::performCall(CallerConnection &connection,
                                                     std::size_t &nodeIndex,
                                                     const HttpRequest &request,
                                                     const std::string &id)
{
    CallResult result;
    result.outcome = "not-run";
    while (result.attempts < plan_.maximumAttempts) {
        ++result.attempts;
        const bool wasUnknown = result.outcome == "unknown";
        const bool isConnected = connection.connect(plan_.nodes[nodeIndex]);
        const auto response = isConnected ? connection.send(request, plan_.timeout) : std::nullopt;
        if (response) {
            const std::string outcome = classifyResponse(*response, id, request.body.size());
            // The outcome not-run covers only this attempt; an earlier unknown one may have run.
            result.outcome = outcome == "not-run" && wasUnknown ? "unknown" : outcome;
            result.version = headerValue(*response, traffic::calls::versionHeader);
        } else if (isConnected) {
            result.outcome = "unknown";
        }
        if (result.outcome != "not-run" && result.outcome != "unknown")
            return result;
        nodeIndex = (nodeIndex + 1) % plan_.nodes.size();
        std::this_thread::sleep_for(retryInterval);
    }
    return result;
}

HttpRequest LoadGenerator::makeRequest(std::uint64_t number, const std::string &id) const
{
    const std::uint64_t random = core::hashing::stableHash(id);
    const bool isPost = !plan_.postPaths.empty()
                        && (plan_.readPaths.empty()
                            || random % percent < static_cast<unsigned int>(plan_.postPercent));
    const auto &targets = isPost ? plan_.postPaths : plan_.readPaths;
    HttpRequest request{
            isPost ? "POST" : "GET", targets[number % targets.size()], {{"X-Request-Id", id}}, {}};
    if (isPost) {
        request.headers.push_back({traffic::calls::idempotencyKeyHeader, id});
        request.body.assign(plan_.bodyBytes, 'x');
    }
    return request;
}

void LoadGenerator::logCall(std::chrono::system_clock::time_point startedAt,
                            std::chrono::nanoseconds latency, const HttpRequest &request,
                            const std::string &id, const CallResult &result)
{
    using std::chrono::duration_cast;
    const auto startMilliseconds
            = duration_cast<std::chrono::milliseconds>(startedAt.time_since_epoch()).count();
    const auto latencyMicroseconds = duration_cast<std::chrono::microseconds>(latency).count();
    const std::lock_guard lock(mutex_);
    std::fprintf(log_, "%lld,%lld,%s,%s,%s,%s,%d,%s\n", static_cast<long long>(startMilliseconds),
                 static_cast<long long>(latencyMicroseconds), request.method.c_str(),
                 request.target.c_str(), id.c_str(), result.outcome.c_str(), result.attempts,
                 result.version.c_str());
}

} // namespace boragetrack::standins::load
