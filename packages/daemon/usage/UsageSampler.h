/** Regular snapshots of the usage counts. */
#pragma once

#include "core/timing/WallTime.h"
#include "traffic/usage/UsageMeter.h"
#include "transport/links/LoopComponent.h"

#include <functional>
#include <kj/async.h>
#include <vector>

namespace boragetrack::daemon::usage {

/** Owns the meter of the traffic thread and passes its counts on once a second. Used on the traffic
    thread only, except for construction. */
class UsageSampler : public transport::links::LoopComponent
{
public:
    /** The interval of snapshots. */
    static constexpr std::chrono::milliseconds period{1000};

    /** What a sample consists of. */
    struct Sample
    {
        std::vector<control::usage::WindowCounts> windows;
        /** Windows whose counts were dropped without being reported. */
        std::vector<control::usage::UsageWindow> dropped;
    };

    /** Receives each sample; called on the traffic thread. */
    using Sink = std::function<void(Sample)>;

    /** @param windowPeriod the length of a window */
    UsageSampler(std::chrono::milliseconds windowPeriod, Sink sink)
        : meter_(windowPeriod, core::timing::currentWallTime())
        , sink_(std::move(sink))
    {}

    ~UsageSampler() noexcept override = default;
    UsageSampler(const UsageSampler &) = delete;
    UsageSampler &operator=(const UsageSampler &) = delete;

    traffic::usage::UsageMeter &meter() { return meter_; }

    absl::Status start(transport::links::LoopContext &context) override;
    void stop() override { sampling_ = nullptr; }

    /** Returns a sample in which all windows are final, as no further request begins to run. */
    Sample takeFinal();

private:
    kj::Promise<void> run(kj::Timer &timer);

    traffic::usage::UsageMeter meter_;
    Sink sink_;
    kj::Promise<void> sampling_ = nullptr;
};

} // namespace boragetrack::daemon::usage
