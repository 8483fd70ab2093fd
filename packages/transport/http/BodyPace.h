/** The pace at which a request's body has to arrive. */
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <kj/async.h>
#include <kj/timer.h>

namespace boragetrack::transport::http {

/** Notices a body that stops or dribbles: in each period at least a part has to arrive. */
class BodyPace
{
public:
    /** The smallest part of a body that counts as progress, in bytes. */
    static constexpr std::size_t partBytes = std::size_t{16} * 1024;

    /** Returns the bytes of the message that have been read. */
    using Progress = std::function<std::size_t()>;

    /** @param timer outlives the pace
        @param period in which a part has to arrive; the first one begins now */
    BodyPace(kj::Timer &timer, std::chrono::milliseconds period, Progress progress);

    /** Resolves once a period has ended without a part. To be called again for each read; the
        periods go on meanwhile. */
    kj::Promise<void> whenTooSlow();

private:
    void beginPeriod();

    kj::Timer &timer_;
    const std::chrono::milliseconds period_;
    const Progress progress_;
    kj::TimePoint end_ = kj::origin<kj::TimePoint>();
    // The bytes that had been read when the period began.
    std::size_t bytes_ = 0;
};

} // namespace boragetrack::transport::http
