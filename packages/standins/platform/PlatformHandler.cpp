/** Implements PlatformHandler. */
#include "standins/platform/PlatformHandler.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace boragetrack::standins::platform {

using control::store::StoredValue;
using control::store::StoreVersion;
using transport::http::HttpRequest;
using transport::http::HttpResponse;

namespace {

const std::string keyPrefix = "/v1/kv/";

HttpResponse valueResponse(const StoredValue &value)
{
    return HttpResponse{200, {{"X-Version", std::to_string(value.version.number)}}, value.value};
}

std::uint64_t numberParameter(const HttpRequest &request, const char *name)
{
    return std::strtoull(request.parameter(name).c_str(), nullptr, 10);
}

} // namespace

HttpResponse PlatformHandler::handle(const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/faults")
        return setFaults(request);
    if (path == "/stats")
        return HttpResponse{200, {}, counters_.toText()};
    if (path.rfind(keyPrefix, 0) != 0)
        return HttpResponse{404, {}, ""};
    counters_.counter("calls").add();
    const PlatformFaults faults = currentFaults();
    std::this_thread::sleep_for(faults.delay);
    if (faults.isUnavailable)
        return HttpResponse{503, {}, ""};
    const std::string key = path.substr(keyPrefix.size());
    return request.method == "PUT" ? put(key, request) : get(key, request);
}

HttpResponse PlatformHandler::get(const std::string &key, const HttpRequest &request)
{
    if (!reads_.tryAcquire())
        return HttpResponse{429, {}, ""};
    const bool isWatch = !request.parameter("watch").empty();
    if (isWatch)
        counters_.counter("watches").add();
    else
        counters_.counter("reads").add();
    const auto value = isWatch ? table_.watch(
                               key, StoreVersion{numberParameter(request, "watch")},
                               std::chrono::milliseconds(numberParameter(request, "timeoutMs")))
                               : table_.read(key);
    // An outage that begins during a watch ends it like any other call.
    if (currentFaults().isUnavailable)
        return HttpResponse{503, {}, ""};
    if (!value)
        return HttpResponse{isWatch ? 304 : 404, {}, ""};
    if (consumeFault(&PlatformFaults::staleReads)) {
        const std::lock_guard lock(mutex_);
        const auto previous = previousValues_.find(key);
        if (previous != previousValues_.end())
            return valueResponse(previous->second);
    }
    return valueResponse(*value);
}

HttpResponse PlatformHandler::put(const std::string &key, const HttpRequest &request)
{
    if (!writes_.tryAcquire())
        return HttpResponse{429, {}, ""};
    counters_.counter("writes").add();
    if (request.body.size() > maximumValueBytes)
        return HttpResponse{413, {}, ""};
    const auto previous = table_.read(key);
    const auto version = table_.compareAndSwap(
            key, StoreVersion{numberParameter(request, "expected")}, request.body);
    if (!version)
        return HttpResponse{409, {}, ""};
    if (previous) {
        const std::lock_guard lock(mutex_);
        previousValues_[key] = *previous;
    }
    if (consumeFault(&PlatformFaults::lostWriteResponses))
        return HttpResponse{500, {}, ""};
    return HttpResponse{200, {{"X-Version", std::to_string(version->number)}}, ""};
}

HttpResponse PlatformHandler::setFaults(const HttpRequest &request)
{
    const auto requested = nlohmann::json::parse(request.body, nullptr, false);
    if (!requested.is_object())
        return HttpResponse{400, {}, "not a JSON object\n"};
    const std::lock_guard lock(mutex_);
    faults_.isUnavailable = requested.value("out", false);
    faults_.delay = std::chrono::milliseconds(requested.value("delayMs", 0));
    faults_.lostWriteResponses = requested.value("lostWriteAnswers", 0);
    faults_.staleReads = requested.value("crossedReads", 0);
    if (requested.contains("restoreFormer")) {
        const std::string key = requested["restoreFormer"];
        const auto previous = previousValues_.find(key);
        if (previous != previousValues_.end())
            table_.restore(key, previous->second);
    }
    return HttpResponse{200, {}, ""};
}

PlatformFaults PlatformHandler::currentFaults()
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

bool PlatformHandler::consumeFault(int PlatformFaults::*count)
{
    const std::lock_guard lock(mutex_);
    if (faults_.*count == 0)
        return false;
    --(faults_.*count);
    return true;
}

} // namespace boragetrack::standins::platform
