/** Encoding of the counts that nodes send to one another. */
#pragma once

#include "control/usage/UsageSnapshot.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::wire {

/** Encodes a snapshot into a message. */
void encode(const control::usage::UsageSnapshot &snapshot, schema::UsageSnapshot::Builder message);

/** Returns the snapshot that a message holds. */
control::usage::UsageSnapshot decode(schema::UsageSnapshot::Reader message);

} // namespace boragetrack::transport::wire
