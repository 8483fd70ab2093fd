/** The intent in the native format: one envelope under one key. */
#pragma once

#include "daemon/service/IntentSource.h"
#include "daemon/service/MoveRecorder.h"
#include "daemon/service/PeerDepartureKeeper.h"
#include "daemon/service/StoreWatcher.h"

namespace boragetrack::daemon::service {

/** Watches the envelope while this node is among the watchers of its data centre, and records moves
    in it. */
class EnvelopeSource : public IntentSource
{
public:
    /** @param watcher and @param recorder outlive the source
        @param watchesAlways makes this node watch in any role, for measurements */
    EnvelopeSource(StoreWatcher &watcher, MoveRecorder &recorder, bool watchesAlways)
        : watcher_(watcher)
        , recorder_(recorder)
        , watchesAlways_(watchesAlways)
    {}

    std::unique_ptr<control::distribution::IntentReplica> makeReplica() override
    {
        return std::make_unique<control::distribution::EnvelopeReplica>();
    }

    void attach(control::distribution::ControlPlane &plane) override
    {
        plane_ = &plane;
        departures_.setControlPlane(plane_);
    }

    void detach() override
    {
        plane_ = nullptr;
        departures_.setControlPlane(nullptr);
    }

    control::membership::DepartureKeeper &departureKeeper() override { return departures_; }
    void update() override { watcher_.setActive(watchesAlways_ || plane_->mustWatchIntentKey()); }

    void recordMove(const control::moves::MoveRecord &record) override
    {
        recorder_.record(record, plane_->replica().revision());
    }

private:
    StoreWatcher &watcher_;
    MoveRecorder &recorder_;
    bool watchesAlways_;
    PeerDepartureKeeper departures_;
    control::distribution::ControlPlane *plane_ = nullptr;
};

} // namespace boragetrack::daemon::service
