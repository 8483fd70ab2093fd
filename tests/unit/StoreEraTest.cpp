/** Tests which era the responses of a store belong to that comes back from copies. */
#include "control/records/StoreEra.h"

#include <gtest/gtest.h>

using boragetrack::control::records::ReadConsistency;
using boragetrack::control::records::StoreEra;
using boragetrack::core::identity::Revision;

namespace {

constexpr ReadConsistency linearizable = ReadConsistency::Linearizable;

std::optional<std::uint64_t> respond(StoreEra &era, Revision named)
{
    return era.recordResponse(era.beginCall(), named, linearizable);
}

} // namespace

TEST(Revision, ordersErasBeforeNumbers)
{
    EXPECT_LT(Revision::inEra(0, Revision::maximumNumberInEra), Revision::inEra(1, 0));
    EXPECT_LT(Revision::inEra(1, 9), Revision::inEra(1, 10));
    EXPECT_EQ(Revision::inEra(0, 7), Revision(7));
    EXPECT_EQ(Revision::inEra(2, 7).numberInEra(), 7U);
    EXPECT_EQ(Revision::inEra(Revision::maximumEra, 7).era(), Revision::maximumEra);
    EXPECT_EQ(Revision(7).toString(), "7");
    EXPECT_EQ(Revision::inEra(2, 7).toString(), "2:7");
}

TEST(StoreEra, risesWhenANumberFalls)
{
    StoreEra era;
    EXPECT_EQ(respond(era, Revision(15)), 0U);
    EXPECT_EQ(respond(era, Revision(15)), 0U);
    EXPECT_EQ(respond(era, Revision(12)), 1U);
    EXPECT_EQ(respond(era, Revision(13)), 1U);
    EXPECT_EQ(respond(era, Revision(3)), 2U);
}

// Guards against a change of era for each read of a replica that lags.
TEST(StoreEra, staysAfterAReadThatMayBeStale)
{
    StoreEra era;
    respond(era, Revision(15));
    EXPECT_EQ(era.recordResponse(era.beginCall(), Revision(12), ReadConsistency::MayBeStale), 0U);
    EXPECT_EQ(respond(era, Revision(15)), 0U);
}

// Guards against a change of era when responses overtake each other.
TEST(StoreEra, staysWhenAnEarlierCallIsAnsweredLate)
{
    StoreEra era;
    const StoreEra::Call earlier = era.beginCall();
    respond(era, Revision(15));
    EXPECT_EQ(era.recordResponse(earlier, Revision(12), linearizable), 0U);
}

// Guards against records of an earlier era that count as those of the current one.
TEST(StoreEra, doesNotUseResponsesToCallsFromBeforeAChange)
{
    StoreEra era;
    const StoreEra::Call earlier = era.beginCall();
    era.recordEra(1);
    EXPECT_EQ(era.recordResponse(earlier, Revision(15), linearizable), std::nullopt);
    EXPECT_EQ(respond(era, Revision(12)), 1U);
}

TEST(StoreEra, believesAStoreThatTellsIt)
{
    StoreEra era;
    EXPECT_EQ(respond(era, Revision::inEra(1, 15)), 1U);
    const StoreEra::Call earlier = era.beginCall();
    EXPECT_EQ(respond(era, Revision::inEra(2, 20)), 2U);
    EXPECT_EQ(era.recordResponse(earlier, Revision::inEra(1, 16), linearizable), std::nullopt);
    EXPECT_EQ(respond(era, Revision::inEra(2, 12)), 2U);
    EXPECT_EQ(respond(era, Revision(11)), 2U);
}

TEST(StoreEra, followsWhatOtherNodesTell)
{
    StoreEra era;
    respond(era, Revision(15));
    era.recordEra(2);
    EXPECT_EQ(respond(era, Revision(12)), 2U);
    era.recordEra(1);
    EXPECT_EQ(era.current(), 2U);
}
