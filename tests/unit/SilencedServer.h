/** A server whose connections go silent while new ones work. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <kj/async-io.h>
#include <string>
#include <utility>

namespace boragetrack::tests {

/** Responds to each request after a delay, on the event loop of a test. */
class SilencedServer : private kj::TaskSet::ErrorHandler
{
public:
    explicit SilencedServer(kj::AsyncIoContext &io)
        : timer_(io.provider->getTimer())
        , listener_(
                  io.provider->getNetwork().parseAddress("127.0.0.1").wait(io.waitScope)->listen())
        , tasks_(*this)
    {
        tasks_.add(acceptAll());
    }

    core::identity::NetworkAddress address()
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(listener_->getPort())};
    }

    /** Returns how many connections were accepted. */
    int accepted() const { return accepted_; }

    /** Lets the present connections go silent for good, without closing them. */
    void silence() { firstSound_ = accepted_; }

    /** Sends no response to the next request. */
    void loseNextRequest() { losesNext_ = true; }

private:
    static constexpr kj::Duration delay = 10 * kj::MILLISECONDS;

    kj::Promise<void> acceptAll()
    {
        return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            tasks_.add(serve(kj::mv(stream), accepted_++));
            return acceptAll();
        });
    }

    kj::Promise<void> serve(kj::Own<kj::AsyncIoStream> stream, int number)
    {
        auto buffer = kj::heapArray<kj::byte>(4096);
        auto read = stream->tryRead(buffer.begin(), 1, buffer.size());
        return read.attach(kj::mv(buffer))
                .then([this, stream = kj::mv(stream),
                       number](size_t length) mutable -> kj::Promise<void> {
                    if (length == 0)
                        return kj::READY_NOW;
                    return timer_.afterDelay(delay).then(
                            [this, stream = kj::mv(stream), number]() mutable {
                                return respond(kj::mv(stream), number);
                            });
                });
    }

    kj::Promise<void> respond(kj::Own<kj::AsyncIoStream> stream, int number)
    {
        if (std::exchange(losesNext_, false) || number < firstSound_)
            return serve(kj::mv(stream), number);
        auto written = stream->write(response_.data(), response_.size());
        return written.then([this, stream = kj::mv(stream), number]() mutable {
            return serve(kj::mv(stream), number);
        });
    }

    void taskFailed(kj::Exception && /*exception*/) override {}

    const std::string response_ = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    kj::Timer &timer_;
    kj::Own<kj::ConnectionReceiver> listener_;
    int accepted_ = 0;
    // Connections with a lower number are silent.
    int firstSound_ = 0;
    bool losesNext_ = false;
    kj::TaskSet tasks_;
};

} // namespace boragetrack::tests
