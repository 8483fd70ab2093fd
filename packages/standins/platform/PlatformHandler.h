/** HTTP handler of the platform stand-in. */
#pragma once

#include "core/counters/CounterRegistry.h"
#include "standins/platform/KeyValueTable.h"
#include "standins/platform/PlatformFaults.h"
#include "standins/platform/RateLimiter.h"
#include "transport/http/HttpHandler.h"

namespace boragetrack::standins::platform {

/**
    Implements the key-value interface under /v1/kv/KEY. Tests inject faults with /faults and read
    counters from /stats.

    Reads and writes beyond the rate limits are refused with status 429.
*/
class PlatformHandler : public transport::http::HttpHandler
{
public:
    /** Rate limit for reads and watches together. */
    static constexpr int readsPerSecond = 2000;
    /** Rate limit for writes. */
    static constexpr int writesPerSecond = 400;
    /** Maximum size of a value; larger ones are refused with status 413. */
    static constexpr std::size_t maximumValueBytes = 1'000'000;

    transport::http::HttpResponse handle(const transport::http::HttpRequest &request) override;

private:
    transport::http::HttpResponse get(const std::string &key,
                                      const transport::http::HttpRequest &request);
    transport::http::HttpResponse put(const std::string &key,
                                      const transport::http::HttpRequest &request);
    transport::http::HttpResponse setFaults(const transport::http::HttpRequest &request);
    PlatformFaults currentFaults();
    // Decrements a fault counter; returns false if it is already zero.
    bool consumeFault(int PlatformFaults::*count);

    KeyValueTable table_;
    RateLimiter reads_{readsPerSecond};
    RateLimiter writes_{writesPerSecond};
    core::counters::CounterRegistry counters_;
    // Protects faults_ and previousValues_.
    std::mutex mutex_;
    PlatformFaults faults_;
    // The value of each key before its last write, for stale reads and for restoring older data.
    std::map<std::string, control::store::StoredValue> previousValues_;
};

} // namespace boragetrack::standins::platform
