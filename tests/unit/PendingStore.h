/** A store for tests of what a node does with its responses. */
#pragma once

#include "control/records/RecordStore.h"

#include <deque>
#include <gtest/gtest.h>
#include <utility>

namespace boragetrack::tests {

/** A store whose calls stay pending until the test responds to them. */
class PendingStore : public control::records::RecordStore
{
public:
    void list(const std::string & /*prefix*/, const std::string &after,
              std::chrono::milliseconds /*timeout*/,
              Callback<control::records::RecordPage> callback) override
    {
        lists.push_back({after, std::move(callback)});
    }

    void watch(const std::string & /*prefix*/, core::identity::Revision after,
               std::chrono::milliseconds wait, std::chrono::milliseconds /*timeout*/,
               Callback<control::records::RecordChanges> callback) override
    {
        waits.push_back(wait);
        watches.push_back({after, std::move(callback)});
    }

    void probe(control::records::ReadConsistency consistency, std::chrono::milliseconds /*timeout*/,
               Callback<core::identity::Revision> callback) override
    {
        consistencies.push_back(consistency);
        probes.push_back({core::identity::Revision(0), std::move(callback)});
    }

    void commit(const std::vector<control::records::RecordWrite> &writes,
                std::chrono::milliseconds /*timeout*/,
                Callback<core::identity::Revision> callback) override
    {
        commits.push_back({writes, std::move(callback)});
    }

    void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds /*timeout*/,
                    Callback<control::records::Lease> callback) override
    {
        ++leases;
        if (isLeaseRefused)
            callback(absl::UnavailableError("out"));
        else
            callback(control::records::Lease{leases, timeToLive});
    }

    void renewLease(const control::records::Lease &lease, std::chrono::milliseconds /*timeout*/,
                    Callback<control::records::Lease> callback) override
    {
        callback(lease);
    }

    std::deque<std::pair<std::string, Callback<control::records::RecordPage>>> lists;
    std::deque<std::pair<core::identity::Revision, Callback<control::records::RecordChanges>>>
            watches;
    std::deque<std::pair<core::identity::Revision, Callback<core::identity::Revision>>> probes;
    std::deque<std::pair<std::vector<control::records::RecordWrite>,
                         Callback<core::identity::Revision>>>
            commits;
    std::vector<std::chrono::milliseconds> waits;
    std::vector<control::records::ReadConsistency> consistencies;
    std::uint64_t leases = 0;
    bool isLeaseRefused = false;
};

/** Responds to the first pending call of a kind. */
template <typename Call, typename Response>
void respond(std::deque<Call> &calls, const Response &response)
{
    ASSERT_FALSE(calls.empty());
    const auto callback = calls.front().second;
    calls.pop_front();
    callback(response);
}

} // namespace boragetrack::tests
