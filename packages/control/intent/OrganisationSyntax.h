/** The syntax of organisations' names. */
#pragma once

#include <string_view>

namespace boragetrack::control::intent {

/** Returns whether a text can be the name of an organisation: upstreams receive it as the value of
   a header field, so it is not empty, contains no control characters and neither begins nor ends
   with a space. */
bool isOrganisationName(std::string_view text);

} // namespace boragetrack::control::intent
