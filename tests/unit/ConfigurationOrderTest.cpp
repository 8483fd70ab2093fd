/** Tests that the operators' numbers order configurations, and not the revisions of the store. */
#include "platform/PlatformIntentReader.h"

#include "control/distribution/RecordReplica.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using control::distribution::OfferResult;
using control::distribution::RecordReplica;
using control::records::StoreRecord;
using core::identity::DataCentreId;
using core::identity::Revision;

namespace {

std::string configurationOf(const std::string &version)
{
    return R"({"version":")" + version + R"(","listeners":[{"host":"a.example","ruleSet":[
        {"name":"deposits","kind":"safe","match":{"prefix":"/d/"},"action":{"service":"payments"}}
      ]}],"clusters":[{"name":"payments","healthPath":"/health"}]})";
}

StoreRecord record(const std::string &key, std::uint64_t revision, const std::string &text)
{
    return StoreRecord{key, Revision(revision), text, false};
}

class ConfigurationOrderTest : public testing::Test
{
protected:
    static RecordReplica makeReplica()
    {
        return RecordReplica(std::make_unique<platform::PlatformIntentReader>(
                std::vector{DataCentreId("ikeja"), DataCentreId("lekki")}));
    }

    OfferResult apply(std::uint64_t revision, std::vector<StoreRecord> changes)
    {
        return intent_.applyChanges({std::move(changes), Revision(revision)});
    }

    std::uint64_t number() const { return intent_.document().number.number(); }

    RecordReplica intent_ = makeReplica();
};

} // namespace

// Guards against a node that goes back to an older configuration since it was stored later.
TEST_F(ConfigurationOrderTest, keepsTheNewerConfigurationWhenAnOlderOneIsStoredLater)
{
    apply(10, {record("op/config", 10, configurationOf("r9"))});
    EXPECT_EQ(apply(20, {record("op/config", 20, configurationOf("r8"))}),
              OfferResult::PartlyAccepted);
    EXPECT_EQ(number(), 9U);
    EXPECT_THAT(intent_.refusal(),
                testing::AllOf(testing::HasSubstr("r8"), testing::HasSubstr("r9")));
    EXPECT_EQ(intent_.revision(), Revision(20));
    EXPECT_EQ(apply(21, {record("op/evacuate/ikeja", 21, "{}")}), OfferResult::Accepted);
    EXPECT_EQ(number(), 9U);
    EXPECT_EQ(apply(30, {record("op/config", 30, configurationOf("r12"))}), OfferResult::Accepted);
    EXPECT_EQ(number(), 12U);
}

// Guards against a configuration that is refused for a number that it hasn't.
TEST_F(ConfigurationOrderTest, ordersConfigurationsWithoutANumberByTheirRevisions)
{
    apply(10, {record("op/config", 10, configurationOf("r9"))});
    EXPECT_EQ(apply(20, {record("op/config", 20, configurationOf("9"))}), OfferResult::Accepted);
    EXPECT_EQ(number(), 0U);
    EXPECT_EQ(apply(30, {record("op/config", 30, configurationOf("r8"))}), OfferResult::Accepted);
    EXPECT_EQ(number(), 8U);
}

// Guards against a node that starts with the store's older configuration and gets no newer one from
// peers, as they have the same revision.
TEST_F(ConfigurationOrderTest, getsTheNewerConfigurationFromAPeerThatHasRefusedTheOlderOne)
{
    RecordReplica peer = makeReplica();
    peer.applyChanges({{record("op/config", 10, configurationOf("r9"))}, Revision(10)});
    peer.applyChanges({{record("op/config", 20, configurationOf("r8"))}, Revision(20)});
    intent_.applyListing({record("op/config", 20, configurationOf("r8"))}, Revision(20));
    ASSERT_EQ(number(), 8U);
    const auto text = intent_.unpack(peer.transferSince(Revision(0)));
    ASSERT_TRUE(text);
    EXPECT_EQ(intent_.offer(*text), OfferResult::Accepted);
    EXPECT_EQ(number(), 9U);
    EXPECT_EQ(intent_.revision(), Revision(20));
    RecordReplica third = makeReplica();
    third.offer(*third.unpack(intent_.transferSince(Revision(0))));
    EXPECT_EQ(third.document().number.number(), 9U) << "it passes on what it got";
    EXPECT_EQ(third.revision(), Revision(20));
}

// Guards against the same where the peer's own watch has not delivered the older one yet.
TEST_F(ConfigurationOrderTest, getsTheNewerConfigurationFromAPeerWithAnEarlierRevision)
{
    RecordReplica peer = makeReplica();
    peer.applyChanges({{record("op/config", 10, configurationOf("r9"))}, Revision(10)});
    intent_.applyListing({record("op/config", 20, configurationOf("r8"))}, Revision(20));
    EXPECT_EQ(intent_.offer(*intent_.unpack(peer.transferSince(Revision(0)))),
              OfferResult::Accepted);
    EXPECT_EQ(number(), 9U);
    EXPECT_EQ(intent_.revision(), Revision(20));
}

// Guards against a node that starts with a configuration that can't be read, while its peers use
// the one before.
TEST_F(ConfigurationOrderTest, getsTheLastReadableConfigurationFromAPeer)
{
    RecordReplica peer = makeReplica();
    peer.applyChanges({{record("op/config", 10, configurationOf("r9"))}, Revision(10)});
    peer.applyChanges({{record("op/config", 20, "{")}, Revision(20)});
    intent_.applyListing({record("op/config", 20, "{")}, Revision(20));
    ASSERT_TRUE(intent_.document().routes.empty());
    EXPECT_EQ(intent_.offer(*intent_.unpack(peer.transferSince(Revision(0)))),
              OfferResult::Accepted);
    EXPECT_EQ(intent_.document().routes.size(), 1U);
}

// Guards against a node that takes an older configuration from a peer.
TEST_F(ConfigurationOrderTest, takesNoOlderConfigurationFromAPeer)
{
    apply(10, {record("op/config", 10, configurationOf("r9"))});
    RecordReplica peer = makeReplica();
    peer.applyListing({record("op/config", 20, configurationOf("r8"))}, Revision(20));
    EXPECT_EQ(intent_.offer(*intent_.unpack(peer.transferSince(Revision(0)))),
              OfferResult::PartlyAccepted);
    EXPECT_EQ(number(), 9U);
}
