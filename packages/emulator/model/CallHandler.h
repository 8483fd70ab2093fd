/** Where calls of callers and upstreams go. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "traffic/calls/CallResponse.h"

#include <functional>

namespace boragetrack::emulator::model {

/** Takes the response to a call. */
using ResponseCallback = std::function<void(const traffic::calls::CallResponse &)>;

/** Takes calls and answers each exactly once. */
class CallHandler
{
public:
    virtual ~CallHandler() = default;

    /** Starts a call. @param done called later, never within this call */
    virtual void call(const traffic::calls::CallRequest &request, ResponseCallback done) = 0;
};

} // namespace boragetrack::emulator::model
