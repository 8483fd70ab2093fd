/** A server connection and its client, for tests of what the client receives. */
#pragma once

#include "tests/unit/HeldHandler.h"
#include "transport/http/ServerConnection.h"

#include <chrono>
#include <gtest/gtest.h>
#include <kj/async-io.h>

namespace boragetrack::tests {

/** A server connection and its client, which are joined by a socket pair. */
class ConnectionFixture : public testing::Test
{
protected:
    static constexpr std::size_t memoryBytes = std::size_t{16} * 1024 * 1024;

    ConnectionFixture()
    {
        running_ = connection_->run()
                           .then([this]() { hasEnded_ = true; },
                                 [this](kj::Exception && /*exception*/) { hasFailed_ = true; })
                           .eagerlyEvaluate(nullptr);
        reading_ = readOn().eagerlyEvaluate([](kj::Exception && /*exception*/) {});
    }
    ~ConnectionFixture() noexcept override {}

    void send(const std::string &text)
    {
        ends_.ends[1]->write(text.data(), text.size()).wait(io_.waitScope);
        settle();
    }

    // Sends GET requests for single-letter paths.
    void sendGets(const std::string &letters)
    {
        std::string text;
        for (const char letter : letters)
            text += std::string("GET /") + letter + " HTTP/1.1\r\nHost: a\r\n\r\n";
        send(text);
    }

    void release(const std::string &target)
    {
        handler_.release(target);
        settle();
    }

    void settle(std::chrono::milliseconds time = std::chrono::milliseconds(20))
    {
        io_.provider->getTimer().afterDelay(time.count() * kj::MILLISECONDS).wait(io_.waitScope);
    }

    // Returns the bodies of the responses received, in their order; each is a target.
    std::string bodies() const
    {
        std::string result;
        for (std::size_t at = received_.find("\r\n\r\n/"); at != std::string::npos;
             at = received_.find("\r\n\r\n/", at + 1))
            result += received_.at(at + 5);
        return result;
    }

    bool hasReceived(const std::string &text) const
    {
        return received_.find(text) != std::string::npos;
    }

    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    kj::TwoWayPipe ends_ = io_.provider->newTwoWayPipe();
    HeldHandler handler_;
    transport::http::BufferBudget budget_{std::size_t{4} * 1024 * 1024};
    std::size_t partialRequests_ = 0;
    core::counters::CounterRegistry registry_;
    transport::http::PipelineCounters counters_{registry_};
    transport::http::MemoryBudget memory_{memoryBytes, registry_};
    std::string received_;
    bool hasEnded_ = false;
    bool hasFailed_ = false;
    bool isClosed_ = false;
    kj::Own<transport::http::ServerConnection> connection_
            = kj::heap<transport::http::ServerConnection>(kj::mv(ends_.ends[0]), handler_,
                                                          io_.provider->getTimer(), budget_,
                                                          partialRequests_, &counters_, &memory_);
    kj::Promise<void> running_ = nullptr;
    kj::Promise<void> reading_ = nullptr;

    kj::Promise<void> readOn()
    {
        return ends_.ends[1]->tryRead(chunk_, 1, sizeof(chunk_)).then([this](std::size_t length) {
            received_.append(chunk_, length);
            isClosed_ = length == 0;
            return isClosed_ ? kj::Promise<void>(kj::READY_NOW) : readOn();
        });
    }

private:
    char chunk_[64 * 1024];
};

} // namespace boragetrack::tests
