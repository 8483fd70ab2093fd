/** Checks that docs/EVENTS.md lists exactly the event codes of the source, with their levels. */
#include "core/events/EventLevel.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace boragetrack;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(std::string(SOURCE_DIRECTORY) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::set<std::string> matches(const std::string &text, const std::regex &pattern)
{
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it)
        found.insert((*it)[1].str() + " " + (*it)[2].str() + " " + (*it)[3].str());
    return found;
}

} // namespace

TEST(EventCatalogue, listsEveryEventWithItsNumberAndLevel)
{
    std::set<std::string> declared;
    const std::string source = readFile("packages/core/events/EventCode.h");
    const std::regex codePattern(R"((\w+) = (\d+),)");
    for (std::sregex_iterator it(source.begin(), source.end(), codePattern), end; it != end; ++it) {
        const auto code = static_cast<core::events::EventCode>(std::stoi((*it)[2].str()));
        const std::string level(core::events::nameOf(core::events::levelOf(code)));
        declared.insert((*it)[2].str() + " " + level + " " + (*it)[1].str());
    }
    const auto documented
            = matches(readFile("docs/EVENTS.md"), std::regex(R"(\| E(\d+) \| (\w+) \| (\w+) \|)"));
    ASSERT_FALSE(declared.empty());
    EXPECT_EQ(declared, documented);
}
