/** Maintains the digest incrementally: records are combined by exclusive or, so their order does
    not matter. */
#include "control/membership/MemberTable.h"

#include "core/hashing/StableHash.h"

namespace boragetrack::control::membership {

bool MemberTable::merge(const MemberRecord &record)
{
    const auto found = records_.find(record.id);
    if (found == records_.end()) {
        digest_ ^= hashOf(record);
        records_.emplace(record.id, record);
        return true;
    }
    if (!record.supersedes(found->second))
        return false;
    digest_ ^= hashOf(found->second) ^ hashOf(record);
    found->second = record;
    return true;
}

void MemberTable::erase(const core::identity::NodeId &id)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return;
    digest_ ^= hashOf(found->second);
    records_.erase(found);
}

const MemberRecord *MemberTable::find(const core::identity::NodeId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

MemberTable::BucketHashes MemberTable::bucketHashes() const
{
    BucketHashes hashes{};
    for (const auto &[id, record] : records_)
        hashes[bucketOf(id)] ^= hashOf(record);
    return hashes;
}

std::vector<MemberRecord> MemberTable::recordsDifferingFrom(const BucketHashes &hashes) const
{
    const BucketHashes own = bucketHashes();
    std::vector<MemberRecord> records;
    for (const auto &[id, record] : records_) {
        const std::size_t bucket = bucketOf(id);
        if (own[bucket] != hashes[bucket])
            records.push_back(record);
    }
    return records;
}

std::size_t MemberTable::bucketOf(const core::identity::NodeId &id)
{
    return core::hashing::stableHash(id.value()) % bucketCount;
}

std::uint64_t MemberTable::hashOf(const MemberRecord &record)
{
    return core::hashing::stableHash(record.id.value() + "/"
                                     + std::to_string(record.version.generation) + "/"
                                     + std::to_string(record.version.sequence) + "/"
                                     + std::to_string(static_cast<int>(record.state)));
}

} // namespace boragetrack::control::membership
