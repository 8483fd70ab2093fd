/** The platform stand-in's HTTP protocol. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "standins/platform/KeyValueTable.h"
#include "standins/platform/PlatformFaults.h"
#include "standins/platform/RateLimiter.h"
#include "transport/http/HttpHandler.h"

namespace boragetrack::standins::platform {

/** Serves /v1/kv/KEY, and /faults and /stats for tests. */
class PlatformHandler : public transport::http::HttpHandler
{
public:
    static constexpr int readsPerSecond = 2000;
    static constexpr int writesPerSecond = 400;
    static constexpr std::size_t maximumValueBytes = 1'000'000;

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

private:
    transport::http::HttpResponse get(const std::string &key,
                                      const transport::http::HttpRequest &request);
    transport::http::HttpResponse put(const std::string &key,
                                      const transport::http::HttpRequest &request);
    transport::http::HttpResponse setFaults(const transport::http::HttpRequest &request);
    PlatformFaults currentFaults();
    bool consumeFault(int PlatformFaults::*count);

    KeyValueTable table_;
    RateLimiter reads_{readsPerSecond};
    RateLimiter writes_{writesPerSecond};
    core::counters::CounterRegistry counters_;
    std::mutex mutex_;
    PlatformFaults faults_;
    // The value before the present one of each key, for crossed reads and restored data.
    std::map<std::string, control::store::StoredValue> previousValues_;
};

} // namespace boragetrack::standins::platform
