/** An upstream whose responses are written in advance. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "tests/unit/ScriptedResponse.h"

#include <kj/async-io.h>
#include <string>
#include <vector>

/** Serves connections on loopback. Each request gets the next response of its connection; without
    one left, it gets none and the connection stays open. Requests have no bodies. */
class ScriptedUpstream final : private kj::TaskSet::ErrorHandler
{
public:
    /** For each connection, in the order in which they are opened, a response to each request. */
    using Script = std::vector<std::vector<ScriptedResponse>>;

    /** @param port the port to listen at; zero for any */
    ScriptedUpstream(kj::AsyncIoContext &io, Script script, std::uint16_t port = 0)
        : timer_(io.provider->getTimer())
        , script_(std::move(script))
        , listener_(io.provider->getNetwork()
                            .parseAddress("127.0.0.1:" + std::to_string(port))
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

    kj::Promise<void> serve(kj::AsyncIoStream &stream,
                            const std::vector<ScriptedResponse> &responses, std::size_t position)
    {
        if (position == responses.size())
            return kj::NEVER_DONE;
        return readRequest(stream, {})
                .then([this, &stream, &pieces = responses[position].pieces]() {
                    return write(stream, pieces, 0);
                })
                .then([this, &stream, &responses, position]() {
                    return serve(stream, responses, position + 1);
                });
    }

    kj::Promise<void> write(kj::AsyncIoStream &stream,
                            const std::vector<ScriptedResponse::Piece> &pieces,
                            std::size_t position)
    {
        if (position == pieces.size())
            return kj::READY_NOW;
        const ScriptedResponse::Piece &piece = pieces[position];
        return timer_.afterDelay(piece.delay.count() * kj::MILLISECONDS)
                .then([&stream, &piece]() {
                    return stream.write(piece.bytes.data(), piece.bytes.size());
                })
                .then([this, &stream, &pieces, position]() {
                    return write(stream, pieces, position + 1);
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

    kj::Timer &timer_;
    Script script_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::size_t accepted_ = 0;
    kj::TaskSet tasks_;
};
