/** Encodes control messages. */
#pragma once

#include "control/distribution/Exchange.h"
#include "control/distribution/IntentTransfer.h"
#include "transport/wire/TextCompressor.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::wire {

/** Writes an exchange into a message. */
void encode(const control::distribution::Exchange &exchange, schema::Exchange::Builder message);

/** Reads an exchange from a message. */
control::distribution::Exchange decode(schema::Exchange::Reader message);

/** Writes a transfer into a message. */
void encode(const control::distribution::IntentTransfer &transfer, TextCompressor &compressor,
            schema::IntentTransfer::Builder message);

/** Reads a transfer from a message. */
control::distribution::IntentTransfer decode(schema::IntentTransfer::Reader message);

/** Writes records into a list of the same size. */
void encode(const std::vector<control::membership::MemberRecord> &records,
            capnp::List<schema::Member>::Builder list);

/** Reads records from a list. */
std::vector<control::membership::MemberRecord> decode(capnp::List<schema::Member>::Reader list);

} // namespace boragetrack::transport::wire
