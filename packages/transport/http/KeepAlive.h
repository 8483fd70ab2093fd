/** Probes that show a silent connection. */
#pragma once

#include <kj/async-io.h>

namespace boragetrack::transport::http {

/** Lets the system probe a connection while it is idle, so that one whose peer fell silent without
    closing it breaks within a few seconds. */
void enableKeepAlive(kj::AsyncIoStream &stream);

} // namespace boragetrack::transport::http
