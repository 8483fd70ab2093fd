/** Keeps expired leases, so that tests can compare calls with them. */
#include "UsageStoreModel.h"

#include <algorithm>

namespace boragetrack::tests {

using namespace control::records;
using core::identity::Revision;

void UsageStoreModel::setTime(Milliseconds now)
{
    now_ = now;
    for (auto &[id, lease] : leases_)
        lease.isExpired = lease.isExpired || lease.endsAt <= now;
    removeExpired();
}

void UsageStoreModel::expireAll()
{
    for (auto &[id, lease] : leases_)
        lease.isExpired = true;
    removeExpired();
}

Lease UsageStoreModel::grant(Milliseconds timeToLive)
{
    ++grants;
    const std::uint64_t id = leases_.size() + 1;
    leases_[id] = HeldLease{timeToLive, now_ + timeToLive};
    return Lease{id, timeToLive};
}

absl::StatusOr<Lease> UsageStoreModel::renew(std::uint64_t id)
{
    ++renewals;
    const auto found = leases_.find(id);
    if (found == leases_.end() || found->second.isExpired)
        return absl::NotFoundError("expired");
    found->second.endsAt = now_ + found->second.timeToLive;
    return Lease{id, found->second.timeToLive};
}

absl::StatusOr<Revision> UsageStoreModel::commit(const std::vector<RecordWrite> &writes)
{
    ++commits;
    for (const RecordWrite &write : writes) {
        const auto found = records_.find(write.key);
        const Revision held = found == records_.end() ? Revision{} : found->second.record.revision;
        if (held != write.expected) {
            ++conflicts;
            return absl::AbortedError("conflict");
        }
        const auto lease = leases_.find(write.lease.id);
        if (write.lease.id != 0 && (lease == leases_.end() || lease->second.isExpired))
            return absl::NotFoundError("expired");
    }
    revision_ = revision_.next();
    for (const RecordWrite &write : writes) {
        records_[write.key]
                = HeldRecord{StoreRecord{write.key, revision_, write.text, false}, write.lease.id};
        leaseOfWrite_[revision_.number()] = write.lease.id;
        written_.emplace_back(write.key, write.text);
    }
    if (onChange)
        onChange();
    return revision_;
}

RecordPage UsageStoreModel::list(const std::string &prefix) const
{
    RecordPage page;
    page.revision = revision_;
    for (const auto &[key, held] : records_) {
        if (key.starts_with(prefix))
            page.records.push_back(held.record);
    }
    return page;
}

UsageStoreModel::Milliseconds UsageStoreModel::leaseEndOf(std::uint64_t revision) const
{
    const auto lease = leaseOfWrite_.find(revision);
    return lease == leaseOfWrite_.end() ? Milliseconds(0) : leases_.at(lease->second).endsAt;
}

bool UsageStoreModel::wasWritten(const std::string &key, const std::string &text) const
{
    return std::find(written_.begin(), written_.end(), std::pair(key, text)) != written_.end();
}

void UsageStoreModel::removeExpired()
{
    const std::size_t removed = std::erase_if(records_, [&](const auto &item) {
        const std::uint64_t lease = item.second.lease;
        return lease != 0 && leases_.at(lease).isExpired;
    });
    if (removed == 0)
        return;
    revision_ = revision_.next();
    if (onChange)
        onChange();
}

} // namespace boragetrack::tests
