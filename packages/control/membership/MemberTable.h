/** All members that a node knows. */
#pragma once

#include "control/membership/MemberRecord.h"

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace boragetrack::control::membership {

/** Merges records of members; the merge is commutative, so every node ends with the same table. */
class MemberTable
{
public:
    /** The number of parts that anti-entropy compares. */
    static constexpr std::size_t bucketCount = 64;
    using BucketHashes = std::array<std::uint64_t, bucketCount>;
    using Records = std::map<core::identity::NodeId, MemberRecord>;

    /** Merges a record. @returns whether it displaced what was known */
    bool merge(const MemberRecord &record);

    /** Removes a member's record. */
    void erase(const core::identity::NodeId &id);

    /** Returns a member's record, or null. */
    const MemberRecord *find(const core::identity::NodeId &id) const;

    /** Returns all records, ordered by node. */
    const Records &records() const { return records_; }

    /** Returns one hash for each bucket of records; equal tables have equal hashes. */
    BucketHashes bucketHashes() const;

    /** Returns one hash of the whole table. */
    std::uint64_t digest() const { return digest_; }

    /** Returns the records in buckets whose hashes differ from the given ones. */
    std::vector<MemberRecord> recordsDifferingFrom(const BucketHashes &hashes) const;

private:
    static std::size_t bucketOf(const core::identity::NodeId &id);
    static std::uint64_t hashOf(const MemberRecord &record);

    Records records_;
    // Invariant: the exclusive or of all records' hashes.
    std::uint64_t digest_ = 0;
};

} // namespace boragetrack::control::membership
