/** What became of an upstream's announcement. */
#pragma once

namespace boragetrack::transport::serving {

/** Tells whether an announcement may be acknowledged. */
enum class AnnouncementOutcome {
    /** The announcement is in effect, or was recognised as a late one and ignored. */
    Processed,
    /** The announcement is not in effect yet, since it may be a late one of an upstream that has
        departed. A live upstream announces itself again. */
    NotProven,
    /** The announced departure is in effect, but a later process of this node might not learn of
        it. */
    NotKept,
};

} // namespace boragetrack::transport::serving
