/** Replaces the end of the process by an exception. Takes effect through
    BOOST_ENABLE_ASSERT_HANDLER, which the build defines for all sources. */
#include "core/assertions/AssertionFailure.h"

#include <boost/assert.hpp>
#include <string>

namespace boost {

void assertion_failed(char const *expression, char const *function, char const * /*file*/,
                      long /*line*/)
{
    throw boragetrack::core::assertions::AssertionFailure(std::string("assertion failed: ")
                                                          + expression + " in " + function);
}

void assertion_failed_msg(char const *expression, char const *message, char const *function,
                          char const * /*file*/, long /*line*/)
{
    throw boragetrack::core::assertions::AssertionFailure(
            std::string("assertion failed: ") + expression + " (" + message + ") in " + function);
}

} // namespace boost
