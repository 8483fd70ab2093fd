/** One header of a call. */
#pragma once

#include <string>

namespace boragetrack::traffic::calls {

/** Holds the name and the value of a header. */
struct HeaderField
{
    std::string name;
    std::string value;
};

} // namespace boragetrack::traffic::calls
