/** Tests that the records of the duty of usage reports reach every node, and that their changes
    leave the intent as it is. */
#include "control/distribution/RecordReplica.h"
#include "control/usage/UsageReporter.h"
#include "platform/PlatformIntentReader.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::OfferResult;
using control::distribution::RecordReplica;
using control::records::RecordTable;
using control::records::StoreRecord;
using control::usage::UsageReporter;
using core::identity::DataCentreId;
using core::identity::Revision;

namespace {

constexpr const char *configuration = R"({"version":"r1","baseVersion":"r0","limits":{},
    "listeners":[],"clusters":[]})";

/** Remembers the holder's record. */
class Observer : public control::records::RecordObserver
{
public:
    void recordsChanged(const RecordTable &records) override
    {
        ++changes;
        const StoreRecord *record = records.find(UsageReporter::holderKey);
        holder = record == nullptr ? "" : record->text;
    }

    int changes = 0;
    std::string holder;
};

std::unique_ptr<platform::PlatformIntentReader> makeReader()
{
    return std::make_unique<platform::PlatformIntentReader>(std::vector{DataCentreId("ikeja")});
}

StoreRecord record(const std::string &key, std::uint64_t revision, const std::string &text)
{
    return StoreRecord{key, Revision(revision), text, false};
}

class SharedRecordsTest : public testing::Test
{
protected:
    SharedRecordsTest()
    {
        replica_.applyChanges({{record("op/config", 10, configuration)}, Revision(10)});
    }

    OfferResult apply(const StoreRecord &record)
    {
        return replica_.applyChanges({{record}, record.revision});
    }

    Observer observer_;
    RecordReplica replica_{makeReader(), &observer_};
};

} // namespace

// Each node would put the whole intent in force again with each report.
TEST_F(SharedRecordsTest, doNotChangeTheIntent)
{
    EXPECT_EQ(replica_.contentRevision(), Revision(10));
    EXPECT_EQ(apply(record(UsageReporter::holderKey, 11, "a")), OfferResult::Confirmed);
    EXPECT_EQ(apply(record(UsageReporter::reportKey, 12, "b")), OfferResult::Confirmed);
    EXPECT_EQ(replica_.contentRevision(), Revision(10));
    EXPECT_EQ(replica_.revision(), Revision(12));
}

// Nodes that do not follow the store would not know where to send their counts.
TEST_F(SharedRecordsTest, reachPeersAndTheirRemovalToo)
{
    Observer peerObserver;
    RecordReplica peer(makeReader(), &peerObserver);
    const auto pass
            = [&]() { return peer.offer(*peer.unpack(replica_.transferSince(peer.revision()))); };
    apply(record(UsageReporter::holderKey, 11, "n1"));
    EXPECT_EQ(pass(), OfferResult::Accepted);
    EXPECT_EQ(peerObserver.holder, "n1");
    apply(StoreRecord{UsageReporter::holderKey, Revision(12), {}, true});
    EXPECT_EQ(observer_.holder, "");
    EXPECT_EQ(pass(), OfferResult::Confirmed);
    EXPECT_EQ(peerObserver.holder, "");
}

TEST_F(SharedRecordsTest, areObservedOnlyWhenTheyChange)
{
    const int before = observer_.changes;
    apply(record("boragetrack/nodes/n1", 11, "{}"));
    EXPECT_EQ(observer_.changes, before);
    apply(record(UsageReporter::holderKey, 12, "n1"));
    EXPECT_EQ(observer_.changes, before + 1);
    replica_.applyListing({record("op/config", 10, configuration)}, Revision(13));
    EXPECT_EQ(observer_.changes, before + 2);
    EXPECT_EQ(observer_.holder, "");
}
