/** A connection to the upstream. */
#pragma once

#include "core/timing/MonotonicTime.h"
#include "transport/http/MessageReader.h"

#include <optional>

namespace boragetrack::transport::serving {

/** Holds one connection and the reader of its responses; carries one call at a time. */
class UpstreamConnection
{
public:
    explicit UpstreamConnection(kj::Own<kj::AsyncIoStream> stream)
        : stream_(kj::mv(stream))
        , reader_(stream_, http::MessageLimits{headerBytes, bodyBytes})
    {}

    /** Returns the stream. */
    http::ReadAheadStream &stream() { return stream_; }

    /** Returns the reader of responses. */
    http::MessageReader<http::ResponseHead> &reader() { return reader_; }

    /** Notes when the connection became idle and how long the upstream keeps it so. */
    void markIdle(core::timing::MonotonicTime now, std::chrono::milliseconds keptFor);

    /** Returns whether another call may be sent: the upstream has neither closed the connection
        nor sent anything unasked, and will not close it just now. */
    bool isReusable(core::timing::MonotonicTime now) const;

    /** Watches an idle connection, so that its end shows before it is used again. */
    void watch();

private:
    static constexpr std::uint32_t headerBytes = 64 * 1024;
    static constexpr std::uint64_t bodyBytes = std::uint64_t{64} * 1024 * 1024;

    http::ReadAheadStream stream_;
    http::MessageReader<http::ResponseHead> reader_;
    core::timing::MonotonicTime reusableUntil_{};
    kj::Promise<void> watching_ = nullptr;
};

} // namespace boragetrack::transport::serving
