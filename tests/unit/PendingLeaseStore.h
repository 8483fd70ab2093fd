/** A store for tests of leases. */
#pragma once

#include "PendingStore.h"

namespace boragetrack::tests {

/** A store whose calls for leases stay pending, too. */
class PendingLeaseStore : public PendingStore
{
public:
    void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds /*timeout*/,
                    Callback<control::records::Lease> callback) override
    {
        grants.push_back({timeToLive, std::move(callback)});
    }

    void renewLease(const control::records::Lease &lease, std::chrono::milliseconds /*timeout*/,
                    Callback<control::records::Lease> callback) override
    {
        renewals.push_back({lease.id, std::move(callback)});
    }

    std::deque<std::pair<std::chrono::milliseconds, Callback<control::records::Lease>>> grants;
    std::deque<std::pair<std::uint64_t, Callback<control::records::Lease>>> renewals;
};

} // namespace boragetrack::tests
