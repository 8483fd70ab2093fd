/** The header field that names the organisation of a request to its upstream. */
#pragma once

#include "traffic/calls/CallRequest.h"
#include "transport/http/HeaderLookup.h"

namespace boragetrack::transport::dialect {

/** Names the organisation of a call in the headers for its upstream, in place of any other value of
    that field. Does nothing for a call without an organisation.
    @param name the name of the field, which depends on the dialect */
void setOrganisationField(http::HeaderList &headers, const char *name,
                          const traffic::calls::CallRequest &request);

} // namespace boragetrack::transport::dialect
