/** Tests the intent that is decoded from the platform's entries (routes, evacuations, moves), its
    transfer to peers and its refusal. */
#include "platform/MoveCodec.h"
#include "platform/PlatformIntentReader.h"

#include "control/distribution/RecordReplica.h"
#include "control/intent/IntentSnapshot.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using control::distribution::OfferResult;
using control::distribution::RecordReplica;
using control::intent::MoveState;
using control::records::StoreRecord;
using core::identity::DataCentreId;
using core::identity::Revision;
using std::chrono::milliseconds;

namespace {

const char *const configuration = R"({"version":"r7","baseVersion":"r5",
  "limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutS":3,"idleTimeoutS":15.5},
  "listeners":[
    {"host":"a.example","ruleSet":[
      {"name":"deposits","kind":"unsafe","targetLatencyS":0.6,"priority":1,
       "match":{"prefix":"/d/"},
       "action":{"service":"payments","timeoutS":1.5,"maxAttempts":2}},
      {"name":"deposits-long","kind":"safe","targetLatencyS":0.5,"priority":2,
       "match":{"prefix":"/d/long/"},
       "action":{"weightedSplit":[{"service":"payments","weight":90},
                                  {"service":"catalogue","weight":10}],
                 "timeoutS":1.2,"maxAttempts":1}}]}],
  "clusters":[
    {"name":"payments","healthPath":"/health","maxConns":110,"coldStartS":3.0,"coldPerS":13.0},
    {"name":"catalogue","healthPath":"/health","maxConns":110}]})";

StoreRecord record(const std::string &key, std::uint64_t revision, const std::string &text)
{
    return StoreRecord{key, Revision(revision), text, false};
}

class PlatformIntentTest : public testing::Test
{
protected:
    OfferResult apply(std::uint64_t revision, std::vector<StoreRecord> changes)
    {
        return intent_.applyChanges({std::move(changes), Revision(revision)});
    }

    const control::intent::MoveIntent &onlyMove() { return intent_.document().moves.at(0); }

    RecordReplica intent_{std::make_unique<platform::PlatformIntentReader>(
            std::vector{DataCentreId("ikeja"), DataCentreId("lekki")})};
};

} // namespace

TEST_F(PlatformIntentTest, readsRoutesServicesAndLimits)
{
    EXPECT_EQ(apply(10, {record("op/config", 10, configuration)}), OfferResult::Accepted);
    const auto &document = intent_.document();
    EXPECT_EQ(intent_.revision(), Revision(10));
    EXPECT_EQ(document.callerLimits.headerBytes, 4096U);
    EXPECT_EQ(document.callerLimits.idleTimeout, milliseconds(15'500));
    const control::intent::IntentSnapshot snapshot(Revision(10), document, DataCentreId("ikeja"),
                                                   {});
    const auto *plain = snapshot.routeFor("a.example", "/d/1");
    ASSERT_NE(plain, nullptr);
    EXPECT_FALSE(plain->route.isIdempotent);
    EXPECT_EQ(plain->route.priority, 1);
    EXPECT_EQ(plain->route.latencyObjective, milliseconds(600));
    EXPECT_EQ(plain->settings.callTimeout, milliseconds(1500));
    EXPECT_EQ(plain->settings.attemptLimit, 2);
    const auto *split = snapshot.routeFor("a.example", "/d/long/1");
    ASSERT_NE(split, nullptr);
    EXPECT_TRUE(split->route.isIdempotent);
    ASSERT_EQ(split->route.split.size(), 2U);
    EXPECT_EQ(split->route.split[1].weight, 10);
    EXPECT_EQ(snapshot.routeFor("b.example", "/d/1"), nullptr);
    EXPECT_EQ(snapshot.service(core::identity::ServiceName("payments"))->coldRate, 13.0);
}

// Guards against configurations that can't be compared because their version isn't read.
TEST_F(PlatformIntentTest, readsTheNumberOfAConfiguration)
{
    const std::vector<std::pair<std::string, std::uint64_t>> numbers{
            {R"("r7")", 7},
            {R"("r18446744073709551615")", 18446744073709551615U},
            {R"("r18446744073709551616")", 0},
            {R"("r")", 0},
            {R"("r-1")", 0},
            {R"("7")", 0},
            {R"("r7b")", 0},
            {"7", 0},
            {"null", 0}};
    std::uint64_t revision = 1;
    for (const auto &[version, number] : numbers) {
        std::string text = configuration;
        text.replace(text.find(R"("r7")"), 4, version);
        apply(revision, {record("op/config", revision, text)});
        EXPECT_EQ(intent_.document().number.number(), number) << version;
        ++revision;
    }
}

TEST_F(PlatformIntentTest, hasNoRevisionBeforeTheFirstConfiguration)
{
    apply(5, {record("op/evacuate/ikeja", 5, "{}")});
    EXPECT_EQ(intent_.revision(), Revision(0));
}

TEST_F(PlatformIntentTest, keepsTheLastValidConfigurationAndAppliesOtherEntries)
{
    apply(10, {record("op/config", 10, configuration)});
    const auto result = apply(12, {record("op/config", 11, R"({"listeners": 7, "clusters": [{}]})"),
                                   record("op/evacuate/lekki", 12, "{}")});
    EXPECT_EQ(result, OfferResult::PartlyAccepted);
    EXPECT_EQ(intent_.document().routes.size(), 2U);
    EXPECT_TRUE(intent_.document().dataCentres.at(1).isOut);
    EXPECT_THAT(intent_.refusal(), testing::HasSubstr("clusters"));
}

TEST_F(PlatformIntentTest, ignoresOlderChangesOfAKey)
{
    apply(10, {record("op/config", 10, configuration)});
    apply(20, {record("op/evacuate/ikeja", 20, "{}")});
    EXPECT_EQ(apply(15, {StoreRecord{"op/evacuate/ikeja", Revision(15), {}, true}}),
              OfferResult::NotNewer);
    EXPECT_TRUE(intent_.document().dataCentres.at(0).isOut);
    EXPECT_EQ(intent_.revision(), Revision(20));
}

TEST_F(PlatformIntentTest, removesKeysThatAListingLacks)
{
    apply(10, {record("op/config", 10, configuration)});
    apply(20, {record("op/evacuate/ikeja", 20, "{}")});
    intent_.applyListing({record("op/config", 10, configuration)}, Revision(30));
    EXPECT_FALSE(intent_.document().dataCentres.at(0).isOut);
}

TEST_F(PlatformIntentTest, transfersOnlyTheChangesThatAPeerLacks)
{
    apply(10, {record("op/config", 10, configuration)});
    RecordReplica peer(std::make_unique<platform::PlatformIntentReader>(
            std::vector{DataCentreId("ikeja"), DataCentreId("lekki")}));
    const auto all = intent_.transferSince(Revision(0));
    ASSERT_TRUE(peer.unpack(all));
    EXPECT_EQ(peer.offer(*peer.unpack(all)), OfferResult::Accepted);
    apply(20, {record("op/evacuate/ikeja", 20, "{}")});
    const auto later = intent_.transferSince(peer.revision());
    EXPECT_LT(later.payload.size(), all.payload.size());
    EXPECT_EQ(peer.offer(*peer.unpack(later)), OfferResult::Accepted);
    EXPECT_TRUE(peer.document().dataCentres.at(0).isOut);
    EXPECT_EQ(peer.revision(), Revision(20));
}

// A node that listed the store after a removal has no record of it. Guards against transfers that
// leave it out: the receiver would hold the removed record until its next listing.
TEST_F(PlatformIntentTest, transfersRemovalsThatTheSenderNeverSaw)
{
    apply(10, {record("op/config", 10, configuration)});
    apply(20, {record("op/evacuate/ikeja", 20, "{}")});
    RecordReplica restarted(std::make_unique<platform::PlatformIntentReader>(
            std::vector{DataCentreId("ikeja"), DataCentreId("lekki")}));
    restarted.applyListing({record("op/config", 10, configuration)}, Revision(30));
    const auto transfer = restarted.transferSince(intent_.revision());
    ASSERT_TRUE(intent_.unpack(transfer));
    EXPECT_EQ(intent_.offer(*intent_.unpack(transfer)), OfferResult::Accepted);
    EXPECT_EQ(intent_.revision(), Revision(30));
    EXPECT_FALSE(intent_.document().dataCentres.at(0).isOut);
}

// A process that starts may receive its peers' records before the store's response, which was
// written earlier. Guards against records that were removed in between and are in force again.
TEST_F(PlatformIntentTest, takesNoRemovedRecordFromAListingThatArrivesLate)
{
    RecordReplica peer(std::make_unique<platform::PlatformIntentReader>(
            std::vector{DataCentreId("ikeja"), DataCentreId("lekki")}));
    peer.applyListing({record("op/config", 10, configuration)}, Revision(30));
    const auto transfer = peer.transferSince(intent_.revision());
    ASSERT_TRUE(intent_.unpack(transfer));
    EXPECT_EQ(intent_.offer(*intent_.unpack(transfer)), OfferResult::Accepted);
    const auto result = intent_.applyListing(
            {record("op/config", 10, configuration), record("op/evacuate/ikeja", 20, "{}")},
            Revision(25));
    EXPECT_EQ(result, OfferResult::NotNewer);
    EXPECT_FALSE(intent_.document().dataCentres.at(0).isOut);
}

// Another client of the store may write arbitrary bytes under an order's key. That entry counts as
// invalid and must not prevent the transfer of the others.
TEST_F(PlatformIntentTest, transfersEntriesWithArbitraryBytesAndTheOthers)
{
    const std::string bytes = std::string("\xff\x00\x80\"\\\n", 6);
    apply(10, {record("op/config", 10, configuration), record("op/rollout/payments", 9, bytes)});
    RecordReplica peer(std::make_unique<platform::PlatformIntentReader>(
            std::vector{DataCentreId("ikeja"), DataCentreId("lekki")}));
    EXPECT_EQ(peer.offer(*peer.unpack(intent_.transferSince(Revision(0)))),
              OfferResult::PartlyAccepted);
    EXPECT_EQ(peer.document().routes.size(), 2U);
    EXPECT_EQ(peer.table().find("op/rollout/payments")->text, bytes);
}

TEST_F(PlatformIntentTest, refusesMalformedTransfers)
{
    for (const char *text : {"", "[]", "{}", R"({"through":-1,"records":[]})",
                             R"({"through":5,"records":[7]})", R"({"through":5,"records":[{}]})"})
        EXPECT_EQ(intent_.offer(text), OfferResult::Refused) << text;
}

TEST_F(PlatformIntentTest, combinesAnOrderWithItsRecordedState)
{
    apply(10, {record("op/config", 10, configuration)});
    const std::string order = R"({"service":"payments","targetVersion":"v2","rampS":12})";
    apply(20, {record("op/rollout/payments", 20, order)});
    EXPECT_EQ(onlyMove().to.value(), "v2");
    EXPECT_FALSE(onlyMove().isStartKnown);
    EXPECT_EQ(onlyMove().doneBy - onlyMove().startAt, std::chrono::seconds(12));

    const control::moves::MoveRecord bad{onlyMove().id, MoveState::TakenBack, "it fails",
                                         core::timing::WallTime(milliseconds(5000))};
    std::vector<StoreRecord> written;
    for (const auto &write :
         platform::PlatformMoveWriter().writesFor(onlyMove(), bad, intent_.table()))
        written.push_back(record(write.key, 21, write.text));
    EXPECT_EQ(written.at(0).key, "status/rollout/payments");
    EXPECT_THAT(written.at(0).text, testing::HasSubstr("rolled_back"));
    apply(21, written);
    EXPECT_EQ(onlyMove().state, MoveState::TakenBack);
    EXPECT_EQ(onlyMove().startAt, core::timing::WallTime(milliseconds(5000)));

    // A state that was recorded for an earlier order does not apply to the next one.
    apply(30, {record("op/rollout/payments", 30, order)});
    EXPECT_EQ(onlyMove().state, MoveState::Running);
    EXPECT_FALSE(onlyMove().isStartKnown);
}

// Another writer may leave anything under the keys that nodes read. What can not be read is
// reported with its place, and the rest holds.
TEST_F(PlatformIntentTest, survivesOddRecords)
{
    apply(1, {record("op/config", 1, configuration)});
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    const std::vector<std::string> odd{
            "",
            nested,
            nested.substr(0, 100'000),
            "1e400",
            "[1e308]",
            "\xff\xfe",
            "null",
            std::string(1'000'000, 'x'),
            R"({"service":"payments","targetVersion":"v2","rampS":1e308})",
            R"({"service":"payments","targetVersion":"v2","rampS":-1})",
            R"({"service":"payments","targetVersion":"v2","rampS":18446744073709551616})",
            R"({"service":7,"targetVersion":{},"rampS":[]})"};
    std::uint64_t revision = 1;
    for (const std::string &text : odd) {
        for (const char *key : {"op/rollout/payments", "op/rollout/", "op/evacuate/nowhere",
                                "boragetrack/moves/payments", "status/rollout/payments"}) {
            ++revision;
            apply(revision, {record(key, revision, text)});
            EXPECT_EQ(intent_.document().routes.size(), 2U) << key;
            EXPECT_TRUE(intent_.document().moves.empty()) << key << text.substr(0, 80);
        }
    }
    // A configuration that can not be read leaves the previous one in force.
    apply(revision + 1, {record("op/config", revision + 1, nested)});
    EXPECT_EQ(intent_.document().routes.size(), 2U);
    apply(revision + 2, {record("op/evacuate/ikeja", revision + 2, nested)});
    EXPECT_TRUE(intent_.document().dataCentres.at(0).isOut) << "the rest is followed";
}

TEST_F(PlatformIntentTest, ignoresAMoveRecordWithATimeOutOfRange)
{
    apply(1, {record("op/config", 1, configuration)});
    apply(2, {record("op/rollout/payments", 2,
                     R"({"service":"payments","targetVersion":"v2","rampS":20})")});
    for (const char *time : {"18446744073709551615", "9223372036854775807", "1e300", "-5"}) {
        apply(3,
              {record("boragetrack/moves/payments", 3,
                      std::string(R"({"order":2,"state":"completed","startAtMs":)") + time + "}")});
        EXPECT_FALSE(onlyMove().isStartKnown) << time;
        EXPECT_EQ(onlyMove().state, MoveState::Running) << time;
    }
}
