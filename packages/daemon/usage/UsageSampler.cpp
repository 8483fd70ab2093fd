/** Takes a snapshot with each tick of a timer of the event loop. */
#include "daemon/usage/UsageSampler.h"

namespace boragetrack::daemon::usage {

absl::Status UsageSampler::start(transport::links::LoopContext &context)
{
    sampling_ = run(context.timer).eagerlyEvaluate(nullptr);
    return absl::OkStatus();
}

UsageSampler::Sample UsageSampler::takeFinal()
{
    return Sample{meter_.finalSnapshot(core::timing::currentWallTime()), meter_.takeDropped()};
}

kj::Promise<void> UsageSampler::run(kj::Timer &timer)
{
    return timer.afterDelay(period.count() * kj::MILLISECONDS).then([this, &timer]() {
        auto windows = meter_.snapshot(core::timing::currentWallTime());
        sink_(Sample{std::move(windows), meter_.takeDropped()});
        return run(timer);
    });
}

} // namespace boragetrack::daemon::usage
