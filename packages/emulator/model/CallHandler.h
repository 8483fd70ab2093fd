/** Interface between the models of callers, nodes and upstreams. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <functional>

namespace boragetrack::emulator::model {

/** Receives the response to a call. */
using ResponseCallback = std::function<void(const traffic::calls::CallResponse &)>;

/** Handles calls and delivers exactly one response to each. */
class CallHandler
{
public:
    virtual ~CallHandler() = default;

    /** Starts a call. @param done receives the response; called once, after this function has
        returned */
    virtual void call(const traffic::calls::CallRequest &request, ResponseCallback done) = 0;
};

} // namespace boragetrack::emulator::model
