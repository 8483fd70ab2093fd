/** Builds the members' part of a snapshot only after a change of members, weights or intent, and
   the versions' shares for each snapshot. */
#include "daemon/service/RoutingPublisher.h"

#include "traffic/routing/RoutingSnapshotBuilder.h"

#include <algorithm>

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using core::timing::MonotonicTime;

namespace {

std::chrono::microseconds intervalFor(std::size_t members)
{
    const auto interval = RoutingPublisher::intervalPerMember * static_cast<std::int64_t>(members);
    return std::clamp<std::chrono::microseconds>(interval, RoutingPublisher::minimumInterval,
                                                 RoutingPublisher::maximumInterval);
}

} // namespace

void RoutingPublisher::memberChanged()
{
    members_.reset();
    isStale_ = true;
}

void RoutingPublisher::intentInForce(const ControlPlane &plane, MonotonicTime now)
{
    rampUp_.update(plane.snapshot()->document(), now);
    members_.reset();
    access_ = traffic::routing::buildAccessPolicy(plane.snapshot()->document());
    origin_ = std::make_shared<const traffic::routing::IntentOrigin>(
            traffic::routing::IntentOrigin{plane.changes().arrival().source.toString(), now});
    history_ = std::make_shared<const traffic::routing::IntentHistory>(
            history_->with(plane.snapshot(), now));
    publish(plane, now);
}

void RoutingPublisher::update(const ControlPlane &plane, MonotonicTime now)
{
    // The weights of a data centre that ramps up change with time.
    if (rampUp_.isRamping(now))
        memberChanged();
    if (isStale_ && now - publishedAt_ >= intervalFor(plane.membership().table().records().size()))
        publish(plane, now);
}

void RoutingPublisher::publish(const ControlPlane &plane, MonotonicTime now)
{
    isStale_ = false;
    publishedAt_ = now;
    const control::membership::MemberRecord &self = plane.membership().self();
    if (!members_)
        members_ = traffic::routing::buildRoutableMembers(
                *plane.snapshot(), plane.membership().table(), self, rampUp_, now);
    const auto shareOf = [&plane](const control::intent::Route &route,
                                  const core::identity::ServiceName &service) {
        return plane.shareOf(route, service);
    };
    routing_.publish(traffic::routing::buildRoutingSnapshot(plane.snapshot(), members_, access_,
                                                            self, shareOf, plane.followsMoves(),
                                                            origin_, history_));
}

} // namespace boragetrack::daemon::service
