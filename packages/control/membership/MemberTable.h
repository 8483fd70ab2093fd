/** The table of all members known to a node. */
#pragma once

#include "control/membership/MemberRecord.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace boragetrack::control::membership {

/** Merges member records. The merge is commutative, so all nodes converge to the same table. */
class MemberTable
{
public:
    /** The number of buckets by which anti-entropy compares tables. */
    static constexpr std::size_t bucketCount = 64;
    using BucketHashes = std::array<std::uint64_t, bucketCount>;
    using Records = std::map<core::identity::NodeId, MemberRecord>;

    /** Merges a record. @returns whether it replaced the known one or was new */
    bool merge(const MemberRecord &record);

    /** Removes a member's record. */
    void erase(const core::identity::NodeId &id);

    /** Returns a member's record, or null. */
    const MemberRecord *find(const core::identity::NodeId &id) const;

    /** Returns all records, ordered by node. */
    const Records &records() const { return records_; }

    /** Returns one hash per bucket; equal tables have equal hashes. */
    BucketHashes bucketHashes() const;

    /** Returns a hash of the whole table. */
    std::uint64_t digest() const { return digest_; }

    /** Returns the records of the buckets whose hashes differ from the given ones. */
    std::vector<MemberRecord> recordsDifferingFrom(const BucketHashes &hashes) const;

private:
    static std::size_t bucketOf(const core::identity::NodeId &id);
    static std::uint64_t hashOf(const MemberRecord &record);

    Records records_;
    // Invariant: the exclusive or of the hashes of all records.
    std::uint64_t digest_ = 0;
};

} // namespace boragetrack::control::membership
