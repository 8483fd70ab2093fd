/** Encoding of calls and their responses for the links between nodes. */
#pragma once

#include "traffic/calls/CallAnswer.h"
#include "traffic/calls/CallRequest.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::wire {

/** Encodes a request into a message. */
void encode(const traffic::calls::CallRequest &request, schema::CallRequest::Builder message);

/** Returns the request that a message holds. */
traffic::calls::CallRequest decode(schema::CallRequest::Reader message);

/** Encodes a response into a message. */
void encode(const traffic::calls::CallAnswer &response, schema::CallAnswer::Builder message);

/** Returns the response that a message holds. */
traffic::calls::CallAnswer decode(schema::CallAnswer::Reader message);

} // namespace boragetrack::transport::wire
