/** Tests the member table, failure detection, refutation, the ring of neighbours and the selection
    of watchers. */
#include "control/membership/FailureDetector.h"
#include "control/membership/MemberSelection.h"
#include "control/membership/MembershipEngine.h"
#include "control/membership/RingNeighbours.h"

#include <gtest/gtest.h>
#include <queue>

using namespace boragetrack;
using namespace boragetrack::control::membership;
using core::identity::NodeId;
using core::timing::MonotonicTime;

namespace {

MemberRecord member(const std::string &id, const std::string &dataCentre, std::uint64_t generation)
{
    MemberRecord record;
    record.id = NodeId(id);
    record.dataCentre = core::identity::DataCentreId(dataCentre);
    record.version.generation = generation;
    return record;
}

class CountingListener : public MembershipEngine::Listener
{
public:
    void memberChanged(const MemberRecord * /*previous*/, const MemberRecord & /*record*/) override
    {}
    void dataCentreSilent(const core::identity::DataCentreId & /*name*/) override
    {
        ++silentDataCentres;
    }
    int silentDataCentres = 0;
};

MembershipEngine engineOf(const MemberRecord &self, CountingListener &listener)
{
    return MembershipEngine(self, std::make_unique<RingNeighbours>(), listener);
}

MemberTable tableOf(int perDataCentre, int dataCentres)
{
    MemberTable table;
    for (int i = 0; i < perDataCentre * dataCentres; ++i)
        table.merge(member("n" + std::to_string(i), "dc" + std::to_string(i % dataCentres), 1));
    return table;
}

} // namespace

TEST(MemberTable, convergesInEveryMergeOrder)
{
    MemberRecord older = member("a", "x", 1);
    MemberRecord suspect = older;
    suspect.state = MemberState::Suspect;
    MemberRecord newer = older;
    newer.version.sequence = 1;
    MemberTable first;
    MemberTable second;
    for (const auto &record : {older, suspect, newer})
        first.merge(record);
    for (const auto &record : {newer, suspect, older})
        second.merge(record);
    EXPECT_EQ(first.digest(), second.digest());
    EXPECT_EQ(first.find(NodeId("a"))->state, MemberState::Alive);
}

TEST(MembershipEngine, refutesASuspicionOfItself)
{
    CountingListener listener;
    MembershipEngine engine = engineOf(member("a", "x", 5), listener);
    engine.mergeSuspicions({{NodeId("a"), engine.self().version, NodeId("b")}}, {});
    EXPECT_EQ(engine.self().version.sequence, 1U);
    EXPECT_EQ(engine.self().state, MemberState::Alive);
}

TEST(MembershipEngine, exceedsAHigherGenerationOfItselfAfterAClockStep)
{
    CountingListener listener;
    MembershipEngine engine = engineOf(member("a", "x", 5), listener);
    engine.mergeRecords({member("a", "x", 900)}, {});
    EXPECT_GT(engine.self().version, (MemberVersion{900, 0}));
}

TEST(MembershipEngine, requiresTwoObserversAndATimeoutBeforeDeath)
{
    CountingListener listener;
    MembershipEngine engine = engineOf(member("a", "x", 1), listener);
    engine.mergeRecords(
            {member("b", "x", 1), member("c", "x", 1), member("d", "x", 1), member("e", "x", 1)},
            {});
    const MonotonicTime start{};
    engine.recordContactFailure(NodeId("b"), start);
    engine.tick(start + FailureDetector::suspicionTimeout * 2);
    EXPECT_EQ(engine.table().find(NodeId("b"))->state, MemberState::Suspect);
    engine.mergeSuspicions({{NodeId("b"), {1, 0}, NodeId("c")}}, start);
    engine.tick(start + FailureDetector::suspicionTimeout * 2);
    EXPECT_EQ(engine.table().find(NodeId("b"))->state, MemberState::Dead);
}

TEST(MembershipEngine, keepsTheMembersOfASilentDataCentre)
{
    CountingListener listener;
    MembershipEngine engine = engineOf(member("a", "x", 1), listener);
    std::vector<MemberRecord> others{member("b", "x", 1), member("c", "x", 1)};
    for (int i = 0; i < 6; ++i)
        others.push_back(member("y" + std::to_string(i), "y", 1));
    engine.mergeRecords(others, {});
    for (int i = 0; i < 6; ++i) {
        const NodeId id("y" + std::to_string(i));
        engine.recordContactFailure(id, {});
        engine.mergeSuspicions({{id, {1, 0}, NodeId("b")}}, {});
    }
    engine.tick(MonotonicTime{} + std::chrono::minutes(5));
    EXPECT_EQ(listener.silentDataCentres, 1);
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(engine.table().find(NodeId("y" + std::to_string(i)))->state,
                  MemberState::Suspect);
}

TEST(MembershipEngine, doesNotRestoreADepartedMemberByLateGossip)
{
    CountingListener listener;
    MembershipEngine engine = engineOf(member("a", "x", 1), listener);
    MemberRecord left = member("b", "x", 1);
    left.state = MemberState::Left;
    left.version.sequence = 4;
    engine.mergeRecords({left, member("b", "x", 1)}, {});
    EXPECT_EQ(engine.table().find(NodeId("b"))->state, MemberState::Left);
}

TEST(RingNeighbours, reachesAllOf912NodesInFewHopsWithFewLinks)
{
    const MemberTable table = tableOf(114, 8);
    const RingNeighbours policy;
    std::map<NodeId, std::vector<NodeId>> links;
    std::map<NodeId, int> observers;
    for (const auto &[id, record] : table.records()) {
        links[id] = policy.neighboursOf(record, table);
        EXPECT_LE(links[id].size(), 13U);
        for (const NodeId &neighbour : links[id])
            ++observers[neighbour];
    }
    std::map<NodeId, int> hops{{NodeId("n0"), 0}};
    std::queue<NodeId> open({NodeId("n0")});
    int longest = 0;
    while (!open.empty()) {
        const NodeId node = open.front();
        open.pop();
        longest = hops[node];
        for (const NodeId &next : links[node]) {
            if (hops.emplace(next, hops[node] + 1).second)
                open.push(next);
        }
    }
    EXPECT_EQ(hops.size(), 912U);
    EXPECT_LE(longest, 7);
    for (const auto &[id, record] : table.records())
        EXPECT_GE(observers[id], 3) << id.value();
}

TEST(MemberSelection, selectsTwoWatchersPerDataCentre)
{
    const MemberTable table = tableOf(10, 3);
    std::map<std::string, int> watchers;
    for (const auto &[id, record] : table.records())
        watchers[record.dataCentre.value()] += isWatcher(record, table);
    for (const auto &[name, count] : watchers)
        EXPECT_EQ(count, 2) << name;
}

namespace {

/** Counts how often the neighbours are chosen. */
class CountingNeighbours : public NeighbourPolicy
{
public:
    explicit CountingNeighbours(int &count)
        : count_(count)
    {}

    std::vector<NodeId> neighboursOf(const MemberRecord &self,
                                     const MemberTable &members) const override
    {
        ++count_;
        return RingNeighbours().neighboursOf(self, members);
    }

private:
    int &count_;
};

} // namespace

// A new node fetches the whole table at once; choosing the neighbours passes over all members.
TEST(MembershipEngine, choosesNeighboursOnceForRecordsThatAreMergedTogether)
{
    CountingListener listener;
    int choices = 0;
    MembershipEngine engine(member("self", "dc0", 1), std::make_unique<CountingNeighbours>(choices),
                            listener);
    const MemberTable table = tableOf(100, 4);
    std::vector<MemberRecord> records;
    for (const auto &[id, record] : table.records())
        records.push_back(record);
    engine.mergeFetched(records, MonotonicTime{});
    EXPECT_EQ(choices, 1);
    EXPECT_FALSE(engine.neighbours().empty());
    engine.mergeFetched(records, MonotonicTime{});
    EXPECT_EQ(choices, 1) << "nothing has changed";
}
