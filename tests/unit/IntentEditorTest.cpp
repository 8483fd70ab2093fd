/** Tests that a change is applied exactly once or not at all, and that the result says which. */
#include "control/store/IntentEditor.h"
#include "control/store/StoreKeys.h"
#include "tests/unit/FakeStore.h"
#include "tests/unit/TestIntent.h"

#include <gmock/gmock.h>

using namespace boragetrack;
using control::store::EditOutcome;
using control::store::IntentEditor;
using core::identity::Revision;
using testing::HasSubstr;
using tests::FakeStore;

namespace {

class CountingWaiter : public control::store::EditWaiter
{
public:
    void wait(std::chrono::milliseconds /*time*/) override { ++waits; }
    int waits = 0;
};

class IntentEditorTest : public testing::Test
{
protected:
    IntentEditorTest()
    {
        store_.values[control::store::intentKey]
                = {control::store::StoreVersion{1}, tests::envelopeText(1)};
    }

    control::store::EditResult setTimeout(int value, const std::string &changeId,
                                          Revision minimumRevision = {})
    {
        const auto mutation = [&](nlohmann::json &document) {
            document["defaults"]["callTimeoutMs"] = value;
            return absl::OkStatus();
        };
        return editor_.edit({changeId, "adaeze", core::timing::currentWallTime(), "set", "why"},
                            mutation, minimumRevision);
    }

    int storedTimeout() { return editor_.read()->document["defaults"]["callTimeoutMs"]; }

    FakeStore store_;
    CountingWaiter waiter_;
    IntentEditor editor_{store_, waiter_};
};

} // namespace

TEST_F(IntentEditorTest, acceptsAWriteThatTookEffectButLostItsResponse)
{
    store_.writeFaults = {FakeStore::WriteFault::LostAfter};
    const auto result = setTimeout(900, "c1");
    EXPECT_EQ(result.outcome, EditOutcome::Accepted);
    EXPECT_EQ(result.revision, Revision(2));
    EXPECT_EQ(storedTimeout(), 900);
}

TEST_F(IntentEditorTest, retriesAWriteThatWasLost)
{
    store_.writeFaults = {FakeStore::WriteFault::LostBefore};
    EXPECT_EQ(setTimeout(900, "c1").outcome, EditOutcome::Accepted);
    EXPECT_EQ(storedTimeout(), 900);
    EXPECT_EQ(editor_.read()->revision, Revision(2));
}

TEST_F(IntentEditorTest, reportsAnUnavailablePlatformInAnOutage)
{
    store_.isUnavailable = true;
    EXPECT_EQ(setTimeout(900, "c1").outcome, EditOutcome::PlatformUnavailable);
    store_.isUnavailable = false;
    EXPECT_EQ(storedTimeout(), 501);
}

TEST_F(IntentEditorTest, reportsAConflictWithTheChangeThatWasStoredFirst)
{
    store_.beforeWrite = [this] {
        FakeStore::WriteFault none = FakeStore::WriteFault::None;
        store_.writeFaults = {none};
        IntentEditor other(store_, waiter_);
        other.edit({"c2", "bisi", core::timing::currentWallTime(), "set", "why"},
                   [](nlohmann::json &document) {
                       document["defaults"]["attemptLimit"] = 2;
                       return absl::OkStatus();
                   });
    };
    const auto result = setTimeout(900, "c1");
    EXPECT_EQ(result.outcome, EditOutcome::Conflict);
    EXPECT_THAT(result.message, HasSubstr("bisi"));
    EXPECT_THAT(result.message, HasSubstr("attemptLimit"));
    EXPECT_EQ(storedTimeout(), 501);
}

TEST_F(IntentEditorTest, refusesToEditOlderDataThanNodesServe)
{
    const auto result = setTimeout(900, "c1", Revision(7));
    EXPECT_EQ(result.outcome, EditOutcome::Refused);
    EXPECT_THAT(result.message, HasSubstr("nodes serve 7"));
    EXPECT_EQ(storedTimeout(), 501);
}

TEST_F(IntentEditorTest, refusesAnInvalidResultAsAWhole)
{
    EXPECT_EQ(setTimeout(1, "c1").outcome, EditOutcome::Refused);
    EXPECT_EQ(storedTimeout(), 501);
}

TEST_F(IntentEditorTest, keepsEveryAcceptedChangeInTheAuditTrail)
{
    setTimeout(900, "c1");
    setTimeout(901, "c2");
    control::store::AuditTrail trail(store_);
    const auto entries = trail.read(core::timing::currentWallTime());
    ASSERT_TRUE(entries.ok());
    ASSERT_GE(entries->size(), 2U);
    EXPECT_EQ(entries->back().change.changeId, "c2");
    EXPECT_EQ(entries->back().change.author, "adaeze");
}
