/** Reads the line of the memory controller (version 1) or of the unified hierarchy (version 2), and
    the limits on the path that it names. A container may see its own group as the root of the
    mount, where the rest of the path does not exist. */
#include "daemon/environment/ControlGroupLimit.h"

#include "core/findings/TextFile.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cstdint>
#include <vector>

namespace boragetrack::daemon::environment {

namespace {

using Words = std::vector<std::string>;

constexpr const char *sourceName = "cgroup";

// Merges the limit of one group into that of the groups above it.
void addGroup(const std::filesystem::path &file, MemoryLimit &limit)
{
    std::error_code error;
    if (!std::filesystem::exists(file, error)) {
        limit.isReadable = limit.isReadable && !error;
        return;
    }
    const auto text = core::findings::readTextFile(file);
    const Words lines = absl::StrSplit(text.value_or(""), '\n');
    if (lines.front() == "max")
        return;
    std::uint64_t bytes = 0;
    if (!absl::SimpleAtoi(lines.front(), &bytes)) {
        limit.isReadable = false;
        return;
    }
    limit.bytes = std::min<std::size_t>(limit.bytes.value_or(bytes), bytes);
}

void addPath(const std::filesystem::path &mount, const std::string &group, const char *fileName,
             MemoryLimit &limit)
{
    std::error_code error;
    if (!std::filesystem::is_directory(mount, error)) {
        limit.isReadable = false;
        return;
    }
    std::filesystem::path folder = mount;
    addGroup(folder / fileName, limit);
    const Words parts = absl::StrSplit(group, '/', absl::SkipEmpty());
    for (const std::string &part : parts) {
        // The group lies outside of what the process can see.
        if (part == "..") {
            limit.isReadable = false;
            return;
        }
        folder /= part;
        addGroup(folder / fileName, limit);
    }
}

} // namespace

MemoryLimit ControlGroupLimit::read() const
{
    MemoryLimit limit{sourceName, std::nullopt};
    const auto membership = core::findings::readTextFile(membership_);
    const Words lines = absl::StrSplit(membership.value_or(""), '\n', absl::SkipEmpty());
    bool isMember = false;
    for (const std::string &line : lines) {
        // A line is ID:CONTROLLERS:PATH; without controllers it is the unified hierarchy.
        const Words fields = absl::StrSplit(line, absl::MaxSplits(':', 2));
        if (fields.size() != 3)
            continue;
        isMember = true;
        const Words controllers = absl::StrSplit(fields[1], ',');
        const std::filesystem::path unified = root_ / "unified";
        std::error_code error;
        if (fields[1].empty())
            addPath(std::filesystem::is_directory(unified, error) ? unified : root_, fields[2],
                    "memory.max", limit);
        else if (std::ranges::find(controllers, "memory") != controllers.end())
            addPath(root_ / "memory", fields[2], "memory.limit_in_bytes", limit);
    }
    limit.isReadable = limit.isReadable && isMember;
    return limit;
}

} // namespace boragetrack::daemon::environment
