/** A node's local copy of the records of the store. */
#pragma once

#include "control/records/StoreRecord.h"

#include <map>
#include <vector>

namespace boragetrack::control::records {

/** Merges changes from the store and from peers in any order; a key never reverts to an older
    change. */
class RecordTable
{
public:
    using Records = std::map<std::string, StoreRecord>;

    /** Merges one change, also one that the table's revision covers: the revision may have been
       named without the change. Ignores one from before removalsKnownSince(), as the key may have
       been removed since.
        @returns whether it is newer than the known one of its key */
    bool merge(const StoreRecord &record);

    /** Marks that every change up to a revision has been merged. */
    void completeThrough(core::identity::Revision revision);

    /** Merges a complete listing; known keys that it lacks, or lists as removed, were removed by
       then.
        @param prefix the prefix that was listed
        @returns whether the table changed */
    bool mergeListing(const std::string &prefix, const std::vector<StoreRecord> &listed,
                      core::identity::Revision revision);

    /** Returns the revision up to which every change is known. */
    core::identity::Revision revision() const { return revision_; }

    /** Returns the revision after which every removal has a record here. Of the keys that were
        removed before it, some may be unknown: a listing does not contain them. */
    core::identity::Revision removalsKnownSince() const { return removalsKnownSince_; }

    /** Returns a key's record, or null if it is removed or unknown. */
    const StoreRecord *find(const std::string &key) const;

    /** Returns the changes after a revision, including removals. */
    std::vector<StoreRecord> changesSince(core::identity::Revision revision) const;

    /** Returns all records, including removed ones, ordered by key. */
    const Records &records() const { return records_; }

private:
    bool mergeNewer(const StoreRecord &record);

    Records records_;
    // Invariant: never decreases.
    core::identity::Revision revision_;
    // Invariant: at most revision_; never decreases.
    core::identity::Revision removalsKnownSince_;
};

} // namespace boragetrack::control::records
