/** Tests the texts of usage reports and holders in the store. */
#include "control/usage/DutyHolder.h"
#include "control/usage/UsageReport.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using namespace boragetrack::control::usage;
using core::identity::NetworkAddress;
using core::identity::NodeId;
using core::identity::OrganisationName;

// Guards against a successor that sends other counts than its predecessor recorded.
TEST(UsageText, returnsAReportUnchanged)
{
    const UsageReport report{
            UsageWindow(353445120),
            {{OrganisationName("pulo\"780"), 412}, {OrganisationName("kabo51"), 1}},
            FencingToken(12)};
    const auto read = UsageReport::fromText(report.toText());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->window, report.window);
    EXPECT_EQ(read->counts, report.counts);
    EXPECT_EQ(read->token, report.token);
    EXPECT_EQ(read->toText(), report.toText());
    const UsageReport empty{UsageWindow(7), {}, FencingToken(1)};
    ASSERT_TRUE(UsageReport::fromText(empty.toText()));
    EXPECT_TRUE(UsageReport::fromText(empty.toText())->counts.empty());
}

// Guards against sending a report that was damaged in the store or written by something else.
TEST(UsageText, readsNoReportFromOtherTexts)
{
    for (const char *text :
         {"", "{", "[]", "{}", R"({"windowId":1,"token":2})",
          R"({"windowId":-1,"token":2,"counts":{}})", R"({"windowId":1,"token":2,"counts":[]})",
          R"({"windowId":1,"token":2,"counts":{"a":-1}})",
          R"({"windowId":1,"token":2,"counts":{"a":1.5}})",
          R"({"windowId":"1","token":2,"counts":{}})"})
        EXPECT_FALSE(UsageReport::fromText(text)) << text;
}

// Guards against a process that takes the record of another process of its node for its own.
TEST(UsageText, distinguishesTheProcessesOfANode)
{
    const DutyHolder first{NodeId("gw-1"), 17, NetworkAddress{"127.0.0.1", 7001}};
    DutyHolder second = first;
    second.generation = 18;
    EXPECT_EQ(DutyHolder::fromText(first.toText()), first);
    EXPECT_NE(first.toText(), second.toText());
}

// Guards against sending counts to an address that a damaged record seems to contain.
TEST(UsageText, readsNoHolderFromOtherTexts)
{
    for (const char *text : {"", "{}", "[]", R"({"node":"a","process":1})",
                             R"({"node":"a","process":1,"address":"x"})",
                             R"({"node":"","process":1,"address":"127.0.0.1:1"})",
                             R"({"node":"a","process":"1","address":"127.0.0.1:1"})"})
        EXPECT_FALSE(DutyHolder::fromText(text)) << text;
}
