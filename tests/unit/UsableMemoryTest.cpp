/** Tests how much memory a node takes for its own. */
#include "daemon/environment/UsableMemory.h"

#include <gtest/gtest.h>

namespace boragetrack {
namespace {

using daemon::environment::MemoryLimit;
using daemon::environment::UsableMemory;

constexpr std::size_t megabyte = 1'000'000;

const MemoryLimit noGroup{"cgroup", std::nullopt};
const MemoryLimit group{"cgroup", 400 * megabyte};
const MemoryLimit addresses{"RLIMIT_AS", 300 * megabyte};
const MemoryLimit machine{"machine", 64'000 * megabyte};
const MemoryLimit unread{"cgroup", std::nullopt, false};

} // namespace

// Guards against a node without a bound where the settings do not name the memory.
TEST(UsableMemory, isTheSmallestLimitWithoutASetting)
{
    const auto memory = UsableMemory::select(std::nullopt, {group, addresses, machine});
    EXPECT_EQ(memory.bytes, 300 * megabyte);
    EXPECT_EQ(memory.source, "RLIMIT_AS");
    EXPECT_EQ(memory.unreadSources, "");
}

// Guards against a process that takes all of a large machine that others share.
TEST(UsableMemory, isBoundedOnALargeMachine)
{
    const auto memory = UsableMemory::select(std::nullopt, {noGroup, machine});
    EXPECT_EQ(memory.bytes, UsableMemory::maximumDefaultBytes);
    EXPECT_EQ(memory.source, "default");
}

// Guards against a limit that takes precedence over a smaller setting.
TEST(UsableMemory, isTheSettingWithinTheLimits)
{
    const auto memory = UsableMemory::select(160 * megabyte, {group, addresses, machine});
    EXPECT_EQ(memory.bytes, 160 * megabyte);
    EXPECT_EQ(memory.source, "setting");
}

// Guards against the default as a limit on what an operator grants.
TEST(UsableMemory, isASettingAboveTheDefault)
{
    const auto memory = UsableMemory::select(8'000 * megabyte, {noGroup, machine});
    EXPECT_EQ(memory.bytes, 8'000 * megabyte);
    EXPECT_EQ(memory.source, "setting");
}

// Guards against a setting that promises more than the process may use.
TEST(UsableMemory, isTheLimitBelowTheSetting)
{
    const auto memory = UsableMemory::select(500 * megabyte, {group, machine});
    EXPECT_EQ(memory.bytes, 400 * megabyte);
    EXPECT_EQ(memory.source, "cgroup");
}

// Guards against a failure to read a source that is taken for a limit, or goes unnoticed.
TEST(UsableMemory, leavesOutAndNamesWhatCouldNotBeRead)
{
    const MemoryLimit unreadMachine{"machine", std::nullopt, false};
    const auto memory = UsableMemory::select(std::nullopt, {unread, addresses, unreadMachine});
    EXPECT_EQ(memory.bytes, 300 * megabyte);
    EXPECT_EQ(memory.source, "RLIMIT_AS");
    EXPECT_EQ(memory.unreadSources, "cgroup,machine");
    EXPECT_EQ(UsableMemory::select(std::nullopt, {unread}).bytes,
              UsableMemory::maximumDefaultBytes);
}

} // namespace boragetrack
