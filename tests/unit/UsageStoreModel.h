/** A model of the platform's store with leases, for tests of usage reports. */
#pragma once

#include "control/records/RecordStore.h"

#include <functional>
#include <map>
#include <vector>

namespace boragetrack::tests {

/** Executes calls at once; clients add delays and faults. */
class UsageStoreModel
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /** Sets the time and removes the records of leases that have expired. */
    void setTime(Milliseconds now);

    /** Expires all leases at once, as an outage of the store may do. */
    void expireAll();

    control::records::Lease grant(Milliseconds timeToLive);
    absl::StatusOr<control::records::Lease> renew(std::uint64_t lease);
    absl::StatusOr<core::identity::Revision>
    commit(const std::vector<control::records::RecordWrite> &writes);
    control::records::RecordPage list(const std::string &prefix) const;

    /** Returns when the lease of the write with a revision ends by its lifetime, even if the store
        expired it before. */
    Milliseconds leaseEndOf(std::uint64_t revision) const;

    /** Returns whether a text was ever written to a key. */
    bool wasWritten(const std::string &key, const std::string &text) const;

    /** Calls a function after each change. */
    std::function<void()> onChange;
    /** The numbers of executed calls. */
    std::size_t commits = 0;
    std::size_t conflicts = 0;
    std::size_t lists = 0;
    std::size_t grants = 0;
    std::size_t renewals = 0;

private:
    /** A lease and the end of its lifetime. */
    struct HeldLease
    {
        Milliseconds timeToLive;
        Milliseconds endsAt;
        bool isExpired = false;
    };

    /** A record and its lease. */
    struct HeldRecord
    {
        control::records::StoreRecord record;
        std::uint64_t lease = 0;
    };

    void removeExpired();

    Milliseconds now_{0};
    core::identity::Revision revision_{10};
    std::map<std::uint64_t, HeldLease> leases_;
    std::map<std::string, HeldRecord> records_;
    // The lease of each write under one, by its revision.
    std::map<std::uint64_t, std::uint64_t> leaseOfWrite_;
    std::vector<std::pair<std::string, std::string>> written_;
};

} // namespace boragetrack::tests
