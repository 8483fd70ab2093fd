/** Tests that records which a node holds are in force, whichever revision it held before them. */
#include "AllKeysReader.h"
#include "DurableIntent.h"

#include <gtest/gtest.h>

using namespace boragetrack;
using control::distribution::RecordReplica;
using control::records::StoreRecord;
using core::identity::NodeId;
using core::identity::Revision;
using tests::AllKeysReader;
using tests::DurableIntent;

namespace {

StoreRecord record(const std::string &key, std::uint64_t revision, const std::string &text)
{
    return StoreRecord{key, Revision(revision), text, false};
}

} // namespace

// Guards against a change that is held and not decided by until the next one.
TEST(ContentInForce, putsAChangeOfTheStoreInForceThatItsRevisionCovers)
{
    DurableIntent node(std::make_unique<AllKeysReader>());
    node.apply({record("a", 3, "old")}, 9);
    ASSERT_EQ(node.timesInForce(), 1);
    node.apply({record("a", 7, "new")}, 9);
    EXPECT_EQ(node.replica().table().find("a")->text, "new");
    EXPECT_EQ(node.timesInForce(), 2);
    node.advance(std::chrono::seconds(1));
    EXPECT_EQ(node.timesInForce(), 2) << "nothing else has changed";
}

// Guards against the same where a peer has what this node's revision covers.
TEST(ContentInForce, putsAChangeOfAPeerInForceThatItsRevisionCovers)
{
    DurableIntent node(std::make_unique<AllKeysReader>());
    RecordReplica peer(std::make_unique<AllKeysReader>());
    peer.applyChanges({{record("a", 7, "new")}, Revision(9)});
    node.apply({record("a", 3, "old")}, 9);
    node.propagator().offerFromPeer({NodeId("p"), {}}, peer.transferSince(Revision(5)), node.now());
    EXPECT_EQ(node.replica().table().find("a")->text, "new");
    EXPECT_EQ(node.timesInForce(), 2);
}
