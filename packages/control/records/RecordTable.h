/** The entries of the store as a node knows them. */
#pragma once

#include "control/records/StoreRecord.h"

#include <map>
#include <vector>

namespace boragetrack::control::records {

/** Merges changes from the store and from peers in any order; a key never goes back to an older
    change. */
class RecordTable
{
public:
    using Records = std::map<std::string, StoreRecord>;

    /** Merges one change. @returns whether it is newer than what was known of its key */
    bool merge(const StoreRecord &record);

    /** Notes that every change up to a revision has been merged. */
    void completeThrough(core::identity::Revision revision);

    /** Takes a listing of all keys: those that it lacks were removed by then.
        @param prefix the prefix that was listed
        @returns whether anything was news */
    bool mergeListing(const std::string &prefix, const std::vector<StoreRecord> &listed,
                      core::identity::Revision revision);

    /** Returns the revision up to which every change is known. */
    core::identity::Revision revision() const { return revision_; }

    /** Returns the revision of the newest change of any key; zero when there is none. */
    core::identity::Revision lastChange() const;

    /** Returns a key's last change if it holds a value, or null. */
    const StoreRecord *find(const std::string &key) const;

    /** Returns the changes after a revision, removals included. */
    std::vector<StoreRecord> changesSince(core::identity::Revision revision) const;

    /** Returns all records, removed ones included, ordered by key. */
    const Records &records() const { return records_; }

private:
    Records records_;
    // Invariant: never falls.
    core::identity::Revision revision_;
};

} // namespace boragetrack::control::records
