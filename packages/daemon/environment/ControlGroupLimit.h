/** The limit of the control group of the process. */
#pragma once

#include "daemon/environment/MemoryLimitSource.h"

#include <filesystem>

namespace boragetrack::daemon::environment {

/** Reads the smallest limit of the process's control group and the groups above it, of either
    version of control groups. */
class ControlGroupLimit : public MemoryLimitSource
{
public:
    /** @param membership the file that names the groups of the process
        @param root the folder where control groups are mounted */
    explicit ControlGroupLimit(std::filesystem::path membership = "/proc/self/cgroup",
                               std::filesystem::path root = "/sys/fs/cgroup")
        : membership_(std::move(membership))
        , root_(std::move(root))
    {}

    MemoryLimit read() const override;

private:
    std::filesystem::path membership_;
    std::filesystem::path root_;
};

} // namespace boragetrack::daemon::environment
