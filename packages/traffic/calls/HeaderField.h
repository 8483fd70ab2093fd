/** An HTTP header of a request or response. */
#pragma once

#include <string>

namespace boragetrack::traffic::calls {

/** Holds one header as a name and a value, both without validation. */
struct HeaderField
{
    std::string name;
    std::string value;
};

} // namespace boragetrack::traffic::calls
