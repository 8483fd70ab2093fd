/** A handler whose responses a test releases. */
#pragma once

#include "transport/http/ExchangeHandler.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Reads each request and responds, with the target as the body, once the test says so. GET
    requests are concurrent. */
class HeldHandler : public transport::http::ExchangeHandler
{
public:
    kj::Promise<void> handle(transport::http::ServerExchange &exchange) override
    {
        const std::string target = exchange.head().target;
        started.push_back(target);
        arrivals[target] = exchange.arrivedAt();
        auto released = kj::newPromiseAndFulfiller<void>();
        releases_[target] = kj::mv(released.fulfiller);
        auto run = kj::heap<Run>(*this, target);
        Run &running = *run;
        return exchange.readBodyUpTo(bodyBytes)
                .then([promise
                       = kj::mv(released.promise)](transport::http::BodyPiece && /*body*/) mutable {
                    return kj::mv(promise);
                })
                .then([this, &exchange, &running]() {
                    running.isOver = true;
                    return respond(exchange);
                })
                .attach(kj::mv(run));
    }

    bool isConcurrent(const transport::http::RequestHead &head) const override
    {
        return head.method == "GET";
    }

    transport::http::ServerLimits limits() const override { return serverLimits; }

    /** Lets a request that has started be answered. */
    void release(const std::string &target) { releases_.at(target)->fulfill(); }

    /** Ends a request that has started with an exception. */
    void fail(const std::string &target)
    {
        releases_.at(target)->reject(KJ_EXCEPTION(FAILED, "the handler failed"));
    }

    static constexpr std::size_t bodyBytes = std::size_t{8} * 1024 * 1024;

    transport::http::ServerLimits serverLimits;
    /** The targets in the order in which they started. */
    std::vector<std::string> started;
    std::vector<std::string> cancelled;
    std::map<std::string, std::chrono::steady_clock::time_point> arrivals;
    /** The sizes of responses that are not just the target. */
    std::map<std::string, std::size_t> sizes;
    /** The target whose response closes the connection. */
    std::string closing;
    /** Whether the connection closes once the requests that have started are answered. */
    bool isStopping = false;

private:
    /** Records a request that is destroyed before its response was released. */
    struct Run
    {
        Run(HeldHandler &owner, std::string name)
            : handler(owner)
            , target(std::move(name))
        {}
        ~Run()
        {
            if (!isOver)
                handler.cancelled.push_back(target);
        }
        Run(const Run &) = delete;
        Run &operator=(const Run &) = delete;

        HeldHandler &handler;
        const std::string target;
        bool isOver = false;
    };

    kj::Promise<void> respond(transport::http::ServerExchange &exchange)
    {
        const std::string &target = exchange.head().target;
        if (target == closing)
            exchange.closeAfterResponse();
        if (isStopping)
            exchange.closeAfterStarted();
        const std::string body
                = sizes.contains(target) ? std::string(sizes.at(target), 'x') : target;
        return exchange.respond(transport::http::ResponseHead{200, {}}, body);
    }

    std::map<std::string, kj::Own<kj::PromiseFulfiller<void>>> releases_;
};

} // namespace boragetrack::tests
