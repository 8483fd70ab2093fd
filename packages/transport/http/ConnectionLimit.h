/** The number of connections that a process can serve with its descriptors. */
#pragma once

#include <algorithm>
#include <cstddef>
#include <sys/resource.h>

namespace boragetrack::transport::http {

/** Keeps half of the process's descriptors for the upstream, the links, the store and operators:
    a call that was accepted with the last one could not be sent. */
class ConnectionLimit
{
public:
    /** @param maximum the limit where there are enough descriptors */
    explicit ConnectionLimit(std::size_t maximum)
        : maximum_(maximum)
    {}

    /** Returns the limit with the descriptors that the process may have now. */
    std::size_t current() const
    {
        rlimit descriptors{};
        if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0)
            return maximum_;
        return std::min<std::size_t>(maximum_, descriptors.rlim_cur / 2);
    }

private:
    std::size_t maximum_;
};

} // namespace boragetrack::transport::http
