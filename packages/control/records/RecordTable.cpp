/** Removed records are kept with the revision of their removal, so that an older change that
    arrives late does not restore them. */
#include "control/records/RecordTable.h"

#include <algorithm>
#include <set>

namespace boragetrack::control::records {

using core::identity::Revision;

bool RecordTable::merge(const StoreRecord &record)
{
    // The table may lack a record of the key's later removal.
    if (record.revision <= removalsKnownSince_)
        return false;
    return mergeNewer(record);
}

bool RecordTable::mergeNewer(const StoreRecord &record)
{
    const auto [it, isNew] = records_.try_emplace(record.key, record);
    if (isNew)
        return true;
    if (record.revision <= it->second.revision)
        return false;
    it->second = record;
    return true;
}

void RecordTable::completeThrough(Revision revision)
{
    revision_ = std::max(revision_, revision);
}

bool RecordTable::mergeListing(const std::string &prefix, const std::vector<StoreRecord> &listed,
                               Revision revision)
{
    const bool isNewer = revision > revision_;
    std::set<std::string> present;
    bool hasChanges = false;
    for (const StoreRecord &record : listed) {
        if (!record.isRemoved)
            present.insert(record.key);
        hasChanges = (isNewer ? mergeNewer(record) : merge(record)) || hasChanges;
    }
    for (auto &[key, record] : records_) {
        const bool isMissing = key.starts_with(prefix) && !present.contains(key);
        if (!isMissing || record.isRemoved || record.revision > revision)
            continue;
        // The listing does not contain the revision of the removal, which is at most that of the
        // listing.
        record = StoreRecord{key, revision, {}, true};
        hasChanges = true;
    }
    // Keys that were created and removed since the last known revision left no trace.
    if (isNewer)
        removalsKnownSince_ = revision;
    completeThrough(revision);
    return hasChanges;
}

const StoreRecord *RecordTable::find(const std::string &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() || found->second.isRemoved ? nullptr : &found->second;
}

std::vector<StoreRecord> RecordTable::changesSince(Revision revision) const
{
    std::vector<StoreRecord> changes;
    for (const auto &[key, record] : records_) {
        if (record.revision > revision)
            changes.push_back(record);
    }
    return changes;
}

} // namespace boragetrack::control::records
