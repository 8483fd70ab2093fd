/** Runs each file of scenarios/ as a test and compares its transcript with the committed file in
    golden/. With BORAGETRACK_RENEW_GOLDEN in the environment, the golden files are rewritten. */
#include "tests/scenarios/ScenarioRunner.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace {

namespace fs = std::filesystem;

const fs::path scenarioFolder = fs::path(SOURCE_DIRECTORY) / "scenarios";
const fs::path goldenFolder = fs::path(SOURCE_DIRECTORY) / "golden";

std::string readFile(const fs::path &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    for (const auto &entry : fs::directory_iterator(scenarioFolder))
        names.push_back(entry.path().stem().string());
    std::sort(names.begin(), names.end());
    return names;
}

class ScenarioTest : public testing::TestWithParam<std::string>
{};

} // namespace

TEST_P(ScenarioTest, meetsItsExpectationsAndItsGoldenFile)
{
    boragetrack::tests::ScenarioRunner runner;
    runner.run(readFile(scenarioFolder / (GetParam() + ".scenario")));
    for (const std::string &failure : runner.failures())
        ADD_FAILURE() << failure;
    const fs::path golden = goldenFolder / (GetParam() + ".golden");
    if (std::getenv("BORAGETRACK_RENEW_GOLDEN") != nullptr)
        std::ofstream(golden) << runner.transcript();
    EXPECT_EQ(runner.transcript(), readFile(golden));
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ScenarioTest, testing::ValuesIn(scenarioNames()),
                         [](const auto &info) {
                             std::string name = info.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });
