/** Resource limits of the process. */
#pragma once

#include "daemon/environment/MemoryLimitSource.h"

namespace boragetrack::daemon::environment {

/** Reads a limit that setrlimit() set. */
class ResourceLimit : public MemoryLimitSource
{
public:
    /** @param resource such as RLIMIT_AS
        @param name of the source, as it is logged */
    ResourceLimit(int resource, std::string name)
        : resource_(resource)
        , name_(std::move(name))
    {}

    MemoryLimit read() const override;

private:
    int resource_;
    std::string name_;
};

} // namespace boragetrack::daemon::environment
