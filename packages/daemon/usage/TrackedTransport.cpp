/** Responses may come after this object is destroyed; they still reach their sender. */
#include "daemon/usage/TrackedTransport.h"

#include <utility>

namespace boragetrack::daemon::usage {

using control::usage::UsageSnapshot;
using control::usage::UsageWindow;

TrackedTransport::TrackedTransport(control::usage::UsageTransport &transport,
                                   core::identity::NodeId node, std::uint64_t generation)
    : transport_(transport)
    , node_(std::move(node))
    , generation_(generation)
{}

TrackedTransport::~TrackedTransport()
{
    *self_ = nullptr;
}

void TrackedTransport::sendUsage(const core::identity::NetworkAddress &peer,
                                 const UsageSnapshot &snapshot, Callback callback)
{
    const bool isOwn = snapshot.node == node_ && snapshot.generation == generation_;
    if (!whenAcknowledged_ || !isOwn) {
        transport_.sendUsage(peer, snapshot, std::move(callback));
        return;
    }
    ++awaited_;
    transport_.sendUsage(peer, snapshot,
                         [self = self_, callback = std::move(callback)](UsageWindow reported) {
                             callback(reported);
                             if (*self != nullptr)
                                 (*self)->acknowledged();
                         });
}

void TrackedTransport::notifyWhenAcknowledged(std::function<void()> whenAcknowledged)
{
    whenAcknowledged_ = std::move(whenAcknowledged);
    awaited_ = 0;
}

void TrackedTransport::acknowledged()
{
    if (--awaited_ == 0 && whenAcknowledged_)
        std::exchange(whenAcknowledged_, {})();
}

} // namespace boragetrack::daemon::usage
