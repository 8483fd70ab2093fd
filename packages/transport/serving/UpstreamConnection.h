/** One connection to the upstream. */
#pragma once

#include <kj/async-io.h>
#include <kj/compat/http.h>

namespace boragetrack::transport::serving {

/** Holds a keep-alive connection and the HTTP client that speaks over it. */
struct UpstreamConnection
{
    UpstreamConnection(kj::Own<kj::AsyncIoStream> connectedStream,
                       const kj::HttpHeaderTable &headerTable)
        : stream(kj::mv(connectedStream))
        , client(kj::newHttpClient(headerTable, *stream))
    {}

    /** Returns whether the upstream closed the connection while it was idle. */
    bool isClosedByPeer() const;

    // Destroyed in reverse: the client before the stream that it speaks over.
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<kj::HttpClient> client;
};

} // namespace boragetrack::transport::serving
