/** A connection to the upstream. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "transport/http/MessageReader.h"

#include <optional>

namespace boragetrack::transport::serving {

/** Owns a stream and the reader of its responses; carries one call at a time. */
class UpstreamConnection
{
public:
    /** @param budget outlives the connection */
    UpstreamConnection(kj::Own<kj::AsyncIoStream> stream, http::BufferBudget &budget)
        : stream_(kj::mv(stream))
        , reader_(stream_, http::MessageLimits{headerBytes, bodyBytes}, &budget)
    {}

    /** Returns the stream. */
    http::ReadAheadStream &stream() { return stream_; }

    /** Returns the reader of responses. */
    http::MessageReader<http::ResponseHead> &reader() { return reader_; }

    /** Records that a call is sent on the connection.
        @returns the number of calls that it carried before */
    std::size_t beginCall() { return calls_++; }

    /** Records that the connection is idle from now on.
        @param idleTimeout how long the upstream keeps an idle connection open */
    void markIdle(core::timing::MonotonicTime now, std::chrono::milliseconds idleTimeout);

    /** Returns whether another call may be sent: the upstream has neither closed the connection
        nor sent unrequested bytes, and its idle timeout has not passed. */
    bool isReusable(core::timing::MonotonicTime now) const;

    /** Reads ahead while idle, so that a close by the upstream is noticed before the next call. */
    void watchForClose();

private:
    static constexpr std::uint32_t headerBytes = 64 * 1024;
    static constexpr std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;

    http::ReadAheadStream stream_;
    http::MessageReader<http::ResponseHead> reader_;
    std::size_t calls_ = 0;
    core::timing::MonotonicTime reusableUntil_{};
    kj::Promise<void> closeWatch_ = nullptr;
};

} // namespace boragetrack::transport::serving
