/** The only place that decides which calls name their organisation to upstreams. */
#include "transport/dialect/OrganisationField.h"

#include "traffic/calls/HeaderField.h"

namespace boragetrack::transport::dialect {

void setOrganisationField(http::HeaderList &headers, const char *name,
                          const traffic::calls::CallRequest &request)
{
    // Nested calls name the organisation that they inherited, too. With "|| request.isNested" they
    // would not.
    if (request.organisation.isEmpty())
        return;
    std::erase_if(headers, [name](const traffic::calls::HeaderField &field) {
        return http::equalsIgnoreCase(field.name, name);
    });
    headers.push_back({name, request.organisation.value()});
}

} // namespace boragetrack::transport::dialect
