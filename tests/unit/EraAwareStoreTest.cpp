/** Tests the calls of a store that comes back from a copy while they are in progress. */
#include "control/records/EraAwareStore.h"

#include <gtest/gtest.h>

using namespace boragetrack::control::records;
using boragetrack::core::identity::Revision;
using std::chrono::milliseconds;

namespace {

/** Keeps the last call of each kind until the test responds to it. */
class HeldStore : public RecordStore
{
public:
    void list(const std::string & /*prefix*/, const std::string & /*after*/,
              milliseconds /*timeout*/, Callback<RecordPage> callback) override
    {
        listing = std::move(callback);
    }
    void watch(const std::string & /*prefix*/, Revision /*after*/, milliseconds /*wait*/,
               milliseconds /*timeout*/, Callback<RecordChanges> callback) override
    {
        watching = std::move(callback);
    }
    void probe(ReadConsistency /*consistency*/, milliseconds /*timeout*/,
               Callback<Revision> callback) override
    {
        probing = std::move(callback);
    }
    void commit(const std::vector<RecordWrite> & /*writes*/, milliseconds /*timeout*/,
                Callback<Revision> callback) override
    {
        committing = std::move(callback);
    }
    void grantLease(milliseconds /*timeToLive*/, milliseconds /*timeout*/,
                    Callback<Lease> /*callback*/) override
    {}
    void renewLease(const Lease & /*lease*/, milliseconds /*timeout*/,
                    Callback<Lease> /*callback*/) override
    {}

    Callback<RecordPage> listing;
    Callback<RecordChanges> watching;
    Callback<Revision> probing;
    Callback<Revision> committing;
};

class EraAwareStoreTest : public testing::Test
{
protected:
    void watchAfter(Revision after)
    {
        changes_ = absl::UnavailableError("no response yet");
        store_.watch("", after, milliseconds(1), milliseconds(1),
                     [this](const auto &response) { changes_ = response; });
    }

    Revision probeAt(Revision revision)
    {
        Revision seen;
        store_.probe(ReadConsistency::Linearizable, milliseconds(1),
                     [&](const auto &response) { seen = response.value(); });
        held_.probing(revision);
        return seen;
    }

    HeldStore held_;
    EraAwareStore store_{held_};
    absl::StatusOr<RecordChanges> changes_;
};

} // namespace

TEST_F(EraAwareStoreTest, givesRecordsTheEraOfTheirStore)
{
    probeAt(Revision(15));
    EXPECT_EQ(probeAt(Revision(9)), Revision::inEra(1, 9));
    absl::StatusOr<RecordPage> page;
    store_.list("", "", milliseconds(1), [&](const auto &response) { page = response; });
    held_.listing(RecordPage{{{"key", Revision(7), "text", false}}, Revision(9), false});
    EXPECT_EQ(page->revision, Revision::inEra(1, 9));
    EXPECT_EQ(page->records.at(0).revision, Revision::inEra(1, 7));
}

// Guards against changes that a watch leaves out since the store gave their revisions out again.
TEST_F(EraAwareStoreTest, refusesChangesOfALaterEraThanTheWatch)
{
    probeAt(Revision::inEra(1, 20));
    watchAfter(Revision::inEra(1, 20));
    held_.watching(
            RecordChanges{{{"key", Revision::inEra(2, 25), "", false}}, Revision::inEra(2, 25)});
    EXPECT_TRUE(absl::IsOutOfRange(changes_.status()));
}

// Guards against a watch that waits for a revision which the store has not reached again.
TEST_F(EraAwareStoreTest, refusesToWatchAfterARevisionOfAnEarlierEra)
{
    probeAt(Revision(15));
    probeAt(Revision(9));
    watchAfter(Revision(15));
    EXPECT_EQ(held_.watching, nullptr);
    held_.probing(Revision(9));
    EXPECT_TRUE(absl::IsOutOfRange(changes_.status()));
}

TEST_F(EraAwareStoreTest, refusesAWriteOnTheConditionOfAnEarlierEra)
{
    probeAt(Revision(15));
    probeAt(Revision(9));
    absl::StatusOr<Revision> written;
    store_.commit({RecordWrite{"key", "", Revision(7), {}}}, milliseconds(1),
                  [&](const auto &response) { written = response; });
    EXPECT_EQ(held_.committing, nullptr);
    held_.probing(Revision(9));
    EXPECT_TRUE(absl::IsAborted(written.status()));
}
