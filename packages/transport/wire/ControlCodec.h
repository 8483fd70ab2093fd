/** Encoding of the control messages between nodes. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "transport/wire/TextCompressor.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::wire {

/** Encodes an exchange into a message. */
void encode(const control::distribution::Exchange &exchange, schema::Exchange::Builder message);

/** Returns the exchange that a message holds. */
control::distribution::Exchange decode(schema::Exchange::Reader message);

/** Encodes a transfer into a message, with its payload compressed. */
void encode(const control::distribution::IntentTransfer &transfer, TextCompressor &compressor,
            schema::IntentTransfer::Builder message);

/** Returns the transfer that a message holds, with its payload decompressed. */
control::distribution::IntentTransfer decode(schema::IntentTransfer::Reader message);

/** Encodes records into a list of the same size. */
void encode(const std::vector<control::membership::MemberRecord> &records,
            capnp::List<schema::Member>::Builder list);

/** Returns the records that a list holds. */
std::vector<control::membership::MemberRecord> decode(capnp::List<schema::Member>::Reader list);

} // namespace boragetrack::transport::wire
