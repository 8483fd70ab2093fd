/** Interface to the connections whose clients take their responses slowly. */
#pragma once

#include "core/timing/MonotonicTime.h"

namespace boragetrack::transport::http {

/** Holds bytes of responses until its client has taken them, and can be closed to release them. */
class SlowReader
{
public:
    virtual ~SlowReader() = default;

    /** Returns when the client last took a part of a response; the present time if it is not to
        blame for what is held. */
    virtual core::timing::MonotonicTime lastProgress() const = 0;

    /** Closes the connection in a later turn of the event loop. May be called several times. */
    virtual void cutOff() = 0;
};

} // namespace boragetrack::transport::http
