/** The location in an input that a finding speaks of. */
#pragma once

#include <string>

namespace boragetrack::core::findings {

/** Points into a document: a source name and a JSON pointer (RFC 6901). */
struct Location
{
    std::string source;
    std::string pointer;

    /** Returns the location as "source#pointer". */
    std::string toString() const { return source + "#" + (pointer.empty() ? "/" : pointer); }
};

} // namespace boragetrack::core::findings
