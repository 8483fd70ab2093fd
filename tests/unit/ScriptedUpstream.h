/** An upstream whose responses are written in advance. */
#pragma once

#include "core/identity/NetworkAddress.h"

#include <kj/async-io.h>
#include <string>
#include <vector>

/** Serves connections on loopback. Each request gets the next text of its connection; without one
    left, it gets no response and the connection stays open. Requests have no bodies. */
class ScriptedUpstream : private kj::TaskSet::ErrorHandler
{
public:
    /** For each connection, in the order in which they are opened, a text for each request. */
    using Script = std::vector<std::vector<std::string>>;

    ScriptedUpstream(kj::AsyncIoContext &io, Script script)
        : script_(std::move(script))
        , listener_(io.provider->getNetwork()
                            .parseAddress("127.0.0.1:0")
                            .wait(io.waitScope)
                            ->listen())
        , tasks_(*this)
    {
        tasks_.add(acceptNext());
    }

    boragetrack::core::identity::NetworkAddress address()
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(listener_->getPort())};
    }

private:
    kj::Promise<void> acceptNext()
    {
        return listener_->accept().then([this](kj::Own<kj::AsyncIoStream> &&stream) {
            const std::size_t number = accepted_++;
            if (number < script_.size()) {
                kj::AsyncIoStream &connection = *stream;
                tasks_.add(serve(connection, script_[number], 0).attach(kj::mv(stream)));
            }
            return acceptNext();
        });
    }

    kj::Promise<void> serve(kj::AsyncIoStream &stream, const std::vector<std::string> &texts,
                            std::size_t position)
    {
        if (position == texts.size())
            return kj::NEVER_DONE;
        return readRequest(stream, {})
                .then([&stream, &text = texts[position]]() {
                    return stream.write(text.data(), text.size());
                })
                .then([this, &stream, &texts, position]() {
                    return serve(stream, texts, position + 1);
                });
    }

    static kj::Promise<void> readRequest(kj::AsyncIoStream &stream, std::string received)
    {
        if (received.ends_with("\r\n\r\n"))
            return kj::READY_NOW;
        auto buffer = kj::heapArray<char>(4096);
        auto reading = stream.read(buffer.begin(), 1, buffer.size());
        return reading.then([&stream, received = std::move(received),
                             buffer = kj::mv(buffer)](std::size_t length) {
            return readRequest(stream, received + std::string(buffer.begin(), length));
        });
    }

    // A client that closes its connection ends only that one.
    void taskFailed(kj::Exception && /*exception*/) override {}

    Script script_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::size_t accepted_ = 0;
    kj::TaskSet tasks_;
};
