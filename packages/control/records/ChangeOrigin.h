/** The ways by which a change reaches a node. */
#pragma once

namespace boragetrack::control::records {

/** Tells how a node got a change: from the store or from another node. */
enum class ChangeOrigin {
    /** No change was received yet. */
    None,
    /** A listing of all records. */
    Listing,
    /** A watch of the store. */
    Watch,
    /** A single read of the store's changes, as nodes perform them for others. */
    Read,
    /** A transfer from another node. */
    Peer
};

/** Returns the name of an origin, for logs. */
constexpr const char *describe(ChangeOrigin origin)
{
    switch (origin) {
    case ChangeOrigin::Listing:
        return "listing";
    case ChangeOrigin::Watch:
        return "watch";
    case ChangeOrigin::Read:
        return "read";
    case ChangeOrigin::Peer:
        return "peer";
    case ChangeOrigin::None:
        break;
    }
    return "none";
}

} // namespace boragetrack::control::records
