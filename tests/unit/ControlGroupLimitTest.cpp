/** Tests the limit of a control group on folders that stand in for those of the system. */
#include "daemon/environment/ControlGroupLimit.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace boragetrack {

class ControlGroupLimitTest : public testing::Test
{
protected:
    ControlGroupLimitTest()
    {
        const testing::TestInfo &test = *testing::UnitTest::GetInstance()->current_test_info();
        folder_ = std::filesystem::path(testing::TempDir())
                  / (std::string(test.name()) + "-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder_ / "mount");
    }

    ~ControlGroupLimitTest() override { std::filesystem::remove_all(folder_); }

    void write(const std::string &path, const std::string &text) const
    {
        const std::filesystem::path file = folder_ / path;
        std::filesystem::create_directories(file.parent_path());
        std::ofstream(file) << text;
    }

    daemon::environment::MemoryLimit read() const
    {
        return daemon::environment::ControlGroupLimit(folder_ / "membership", folder_ / "mount")
                .read();
    }

private:
    std::filesystem::path folder_;
};

// Guards against a limit of a group above the process's own that is overlooked.
TEST_F(ControlGroupLimitTest, isTheSmallestOnThePath)
{
    write("membership", "0::/mesh/node/own\n");
    write("mount/mesh/memory.max", "300000000\n");
    write("mount/mesh/node/memory.max", "200000000\n");
    write("mount/mesh/node/own/memory.max", "max\n");
    write("mount/other/memory.max", "100000000\n");
    const auto limit = read();
    EXPECT_EQ(limit.bytes, 200'000'000);
    EXPECT_TRUE(limit.isReadable);
}

// Guards against limits of other controllers, and of version 2 beside version 1.
TEST_F(ControlGroupLimitTest, isReadFromTheMemoryControllerOfVersion1)
{
    write("membership", "5:cpu,cpuacct:/a\n4:memory:/a\n0::/a\n");
    write("mount/memory/memory.limit_in_bytes", "9223372036854771712\n");
    write("mount/memory/a/memory.limit_in_bytes", "160000000\n");
    write("mount/cpu/a/memory.limit_in_bytes", "1\n");
    write("mount/unified/a/cgroup.procs", "1\n");
    const auto limit = read();
    EXPECT_EQ(limit.bytes, 160'000'000);
    EXPECT_TRUE(limit.isReadable);
}

// Guards against a container that sees its own group as the root of the mount.
TEST_F(ControlGroupLimitTest, isReadFromTheRootWhereThePathDoesNotExist)
{
    write("membership", "0::/system/container\n");
    write("mount/memory.max", "160000000\n");
    EXPECT_EQ(read().bytes, 160'000'000);
}

// Guards against a group without a limit that is taken for a failure or a limit of 0.
TEST_F(ControlGroupLimitTest, isNoneWithoutALimit)
{
    write("membership", "0::/a\n");
    write("mount/a/memory.max", "max\n");
    const auto limit = read();
    EXPECT_EQ(limit.bytes, std::nullopt);
    EXPECT_TRUE(limit.isReadable);
}

// Guards against a failure that looks like a group without a limit.
TEST_F(ControlGroupLimitTest, tellsWhatItCannotRead)
{
    EXPECT_FALSE(read().isReadable) << "no file of groups";
    write("membership", "nothing\n");
    EXPECT_FALSE(read().isReadable) << "no group";
    write("membership", "4:memory:/a\n");
    EXPECT_FALSE(read().isReadable) << "no mount";
    write("membership", "0::/../a\n");
    EXPECT_FALSE(read().isReadable) << "a group that is not visible";
    write("membership", "0::/a/b\n");
    write("mount/a/memory.max", "160000000\n");
    write("mount/a/b/memory.max", "-1\n");
    const auto limit = read();
    EXPECT_FALSE(limit.isReadable) << "no number";
    EXPECT_EQ(limit.bytes, 160'000'000) << "the rest counts";
}

} // namespace boragetrack
