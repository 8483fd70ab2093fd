/** Detection of connections whose peer no longer responds. */
#pragma once

#include <kj/async-io.h>

namespace boragetrack::transport::http {

/** Enables TCP keepalive on a connection, so that it fails within a few seconds if its peer stops
    responding without closing it. */
void enableKeepAlive(kj::AsyncIoStream &stream);

} // namespace boragetrack::transport::http
