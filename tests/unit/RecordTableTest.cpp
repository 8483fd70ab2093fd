/** Tests that a copy of the store's records takes changes that its revision already covers. */
#include "control/records/RecordTable.h"

#include <gtest/gtest.h>

using namespace boragetrack::control::records;
using boragetrack::core::identity::Revision;

namespace {

StoreRecord record(const std::string &key, std::uint64_t revision, const std::string &text = "text")
{
    return StoreRecord{key, Revision(revision), text, false};
}

} // namespace

// Guards against a table that ignores a change for ever since its revision was named without it.
TEST(RecordTable, takesAChangeThatItsRevisionCoversAndItLacks)
{
    RecordTable table;
    table.merge(record("a", 3, "old"));
    table.completeThrough(Revision(9));
    EXPECT_TRUE(table.merge(record("a", 7, "new")));
    EXPECT_EQ(table.find("a")->text, "new");
    EXPECT_TRUE(table.merge(record("b", 5)));
    EXPECT_NE(table.find("b"), nullptr);
    EXPECT_EQ(table.revision(), Revision(9));
}

// Guards against a removed record that is back with a change from before its removal.
TEST(RecordTable, takesNoChangeFromBeforeARemovalThatItHas)
{
    RecordTable table;
    table.merge(record("a", 3));
    table.merge(StoreRecord{"a", Revision(8), {}, true});
    table.completeThrough(Revision(9));
    EXPECT_FALSE(table.merge(record("a", 7)));
    EXPECT_EQ(table.find("a"), nullptr);
}

// Guards against a record that is back though it was removed before the table was listed.
TEST(RecordTable, takesNoChangeFromBeforeTheRemovalsThatItKnows)
{
    RecordTable table;
    table.mergeListing({}, {record("a", 3)}, Revision(9));
    EXPECT_FALSE(table.merge(record("b", 5)));
    EXPECT_EQ(table.find("b"), nullptr);
}
