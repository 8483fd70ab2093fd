/** The names of the kinds of events. */
#include "emulator/restarts/RestartFaultKind.h"

namespace boragetrack::emulator::restarts {

const char *nameOf(RestartFaultKind kind)
{
    switch (kind) {
    case RestartFaultKind::Kill:
        return "kill";
    case RestartFaultKind::Stop:
        return "stop";
    case RestartFaultKind::SilentStore:
        return "silent store";
    case RestartFaultKind::BusyStore:
        return "busy store";
    case RestartFaultKind::LossyStore:
        return "lossy store";
    case RestartFaultKind::SilentForFollowers:
        return "store silent for followers";
    case RestartFaultKind::RejectedFollowers:
        return "store rejects followers";
    case RestartFaultKind::RefusedWithLostWatches:
        return "store rejects followers and ends their watches";
    case RestartFaultKind::SilentWithLostWatches:
        return "store silent for followers and ends their watches";
    case RestartFaultKind::RefusedWithKeptWatches:
        return "store rejects followers and serves their watches";
    case RestartFaultKind::KilledProber:
        return "prober killed";
    case RestartFaultKind::FrozenProber:
        return "prober frozen";
    case RestartFaultKind::EarlyForFollowers:
        return "store names changes early to followers";
    case RestartFaultKind::SilentConnections:
        return "connections to the store silent";
    case RestartFaultKind::SilentConnectionsOfFollowers:
        return "connections of followers silent";
    case RestartFaultKind::LateWatch:
        return "late watch of a follower";
    case RestartFaultKind::DataCentresApart:
        return "data centres apart";
    case RestartFaultKind::NodesApart:
        return "nodes apart";
    case RestartFaultKind::SilentLinks:
        return "links silent";
    case RestartFaultKind::SilentLinksOneWay:
        return "links silent one way";
    case RestartFaultKind::Cut:
        return "cut";
    case RestartFaultKind::Change:
        return "change";
    case RestartFaultKind::BadMove:
        return "bad move";
    case RestartFaultKind::Departure:
        break;
    }
    return "departure";
}

} // namespace boragetrack::emulator::restarts
