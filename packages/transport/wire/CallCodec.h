/** Encoding of calls and their responses for the links between nodes. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::wire {

/** Encodes a request into a message. */
void encode(const traffic::calls::CallRequest &request, schema::CallRequest::Builder message);

/** Returns the request that a message holds. */
traffic::calls::CallRequest decode(schema::CallRequest::Reader message);

/** Encodes a response into a message. */
void encode(const traffic::calls::CallResponse &response, schema::CallAnswer::Builder message);

/** Returns the response that a message holds; with outcome Unknown if it is not a valid one. */
traffic::calls::CallResponse decode(schema::CallAnswer::Reader message);

} // namespace boragetrack::transport::wire
