/** How current a read of the store is. */
#pragma once

namespace boragetrack::control::records {

/** A linearizable read shows every change acknowledged before it was sent, and costs a whole call.
   One that may be stale shows the store as it was some seconds ago, at a fraction of that. */
enum class ReadConsistency { Linearizable, MayBeStale };

} // namespace boragetrack::control::records
