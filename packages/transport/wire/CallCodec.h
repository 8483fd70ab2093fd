/** Encodes calls and their answers. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"
#include "transport/wire/peer.capnp.h"

namespace boragetrack::transport::wire {

/** Writes a request into a message. */
void encode(const traffic::calls::CallRequest &request, schema::CallRequest::Builder message);

/** Reads a request from a message. */
traffic::calls::CallRequest decode(schema::CallRequest::Reader message);

/** Writes an answer into a message. */
void encode(const traffic::calls::CallResponse &answer, schema::CallAnswer::Builder message);

/** Reads an answer from a message. */
traffic::calls::CallResponse decode(schema::CallAnswer::Reader message);

} // namespace boragetrack::transport::wire
