/** The failure of an assertion in a library. */
#pragma once

#include <stdexcept>

namespace boragetrack::core::assertions {

/**
    Thrown where an assertion of Boost fails.

    Libraries assert what they take for impossible. Where input from outside reaches such an
    assertion all the same, the code that passed the input on catches the failure and treats the
    input as malformed; it must not use the library's object any further.
*/
class AssertionFailure : public std::logic_error
{
public:
    using std::logic_error::logic_error;
};

} // namespace boragetrack::core::assertions
