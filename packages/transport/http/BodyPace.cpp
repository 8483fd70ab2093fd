/** Compares what has been read at the ends of periods, so that a body that arrives steadily costs
   one timer for each read and no further wake-ups. */
#include "transport/http/BodyPace.h"

#include "transport/timing/Deadline.h"

#include <utility>

namespace boragetrack::transport::http {

BodyPace::BodyPace(kj::Timer &timer, std::chrono::milliseconds period, Progress progress)
    : timer_(timer)
    , period_(period)
    , progress_(std::move(progress))
{
    beginPeriod();
}

kj::Promise<void> BodyPace::whenTooSlow()
{
    return timing::whenPassed(timer_, end_).then([this]() -> kj::Promise<void> {
        if (progress_() < bytes_ + partBytes)
            return kj::READY_NOW;
        beginPeriod();
        return whenTooSlow();
    });
}

void BodyPace::beginPeriod()
{
    end_ = timer_.now() + period_.count() * kj::MILLISECONDS;
    bytes_ = progress_();
}

} // namespace boragetrack::transport::http
