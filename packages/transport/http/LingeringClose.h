/** The end of a connection whose client is still to read the last response. */
#pragma once

#include "transport/http/ReadAheadStream.h"

#include <kj/timer.h>

namespace boragetrack::transport::http {

/** Ends the output and discards input for a while. Closing a connection with unread input would
   reset it, and the client might lose the response. */
class LingeringClose
{
public:
    /** @param stream and @param timer outlive the promise of run() */
    LingeringClose(ReadAheadStream &stream, kj::Timer &timer)
        : stream_(stream)
        , timer_(timer)
    {}

    /** Resolves when the connection may be closed. */
    kj::Promise<void> run();

private:
    static kj::Promise<void> discardInput(ReadAheadStream &stream, std::size_t limit);

    ReadAheadStream &stream_;
    kj::Timer &timer_;
};

} // namespace boragetrack::transport::http
