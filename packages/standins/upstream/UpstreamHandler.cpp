/** Implements UpstreamHandler. */
#include "standins/upstream/UpstreamHandler.h"

#include "core/hashing/StableHash.h"
#include "core/timing/WallTime.h"
#include "traffic/calls/CallHeaders.h"

#include <thread>

namespace boragetrack::standins::upstream {

using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

constexpr const char *requestIdHeader = "X-Request-Id";
constexpr unsigned int percent = 100;

std::chrono::steady_clock::time_point currentTime()
{
    return std::chrono::steady_clock::now();
}

} // namespace

UpstreamHandler::UpstreamHandler(core::identity::VersionName version, UpstreamBehaviour behaviour,
                                 const std::string &journalPath)
    : version_(std::move(version))
    , behaviour_(std::move(behaviour))
    , journal_(journalPath)
    , startedAt_(currentTime())
    , coldSince_(startedAt_)
{}

HttpResponse UpstreamHandler::handle(const HttpRequest &request)
{
    if (request.path() == "/_cold") {
        const std::lock_guard lock(mutex_);
        coldSince_ = currentTime();
        return HttpResponse{200, {}, "cold\n"};
    }
    if (!acquireSlot())
        return HttpResponse{503, {{traffic::calls::shedHeader, "1"}}, "shed\n"};
    const HttpResponse response = run(request);
    releaseSlot();
    return response;
}

void UpstreamHandler::waitUntilIdle()
{
    std::unique_lock lock(mutex_);
    slotFree_.wait(lock, [this] { return running_ == 0 && waiting_ == 0; });
}

bool UpstreamHandler::acquireSlot()
{
    std::unique_lock lock(mutex_);
    if (waiting_ >= behaviour_.queueLimit)
        return false;
    ++waiting_;
    slotFree_.wait(lock, [this] {
        return running_ < (isCold() ? behaviour_.coldSlots : behaviour_.slots);
    });
    --waiting_;
    ++running_;
    return true;
}

void UpstreamHandler::releaseSlot()
{
    {
        const std::lock_guard lock(mutex_);
        --running_;
    }
    slotFree_.notify_all();
}

bool UpstreamHandler::isCold() const
{
    return currentTime() - coldSince_ < behaviour_.coldDuration;
}

bool UpstreamHandler::isDegraded(const HttpRequest &request) const
{
    const bool isBegun = currentTime() - startedAt_ >= behaviour_.degradedAfter;
    const bool isLoaded = running_ >= behaviour_.degradedFromInFlight;
    return isBegun && isLoaded && request.target.rfind(behaviour_.degradedTargetPrefix, 0) == 0;
}

HttpResponse UpstreamHandler::run(const HttpRequest &request)
{
    const std::string id = request.header(requestIdHeader);
    std::chrono::microseconds time = behaviour_.serviceTime;
    bool isFailing = false;
    bool isSlow = false;
    bool isColdOverload = false;
    {
        const std::lock_guard lock(mutex_);
        ++runCount_;
        const bool isBadNow = isDegraded(request);
        const auto point = core::hashing::stableHash(id + std::to_string(runCount_)) % percent;
        isFailing = isBadNow && point < static_cast<unsigned int>(behaviour_.failPercent);
        isSlow = isBadNow && behaviour_.slowdown > 1;
        isColdOverload = isCold() && waiting_ > 0;
        if (isSlow)
            time *= behaviour_.slowdown;
        if (isCold())
            time *= behaviour_.coldSlowdown;
    }
    const auto now = core::timing::currentWallTime().time_since_epoch().count();
    journal_.recordRun(now, request.method, id, isFailing || isSlow, isColdOverload);
    std::this_thread::sleep_for(time);
    if (isFailing)
        return HttpResponse{500, {}, "failed " + id + "\n"};
    return HttpResponse{200,
                        {{"Content-Type", "text/plain"}},
                        "id=" + id + " length=" + std::to_string(request.body.size())
                                + " version=" + version_.value() + "\n"};
}

} // namespace boragetrack::standins::upstream
