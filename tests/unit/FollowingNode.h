/** A node that follows a store for tests of its copy of the records. */
#pragma once

#include "AllKeysReader.h"
#include "PendingStore.h"
#include "RecordHistory.h"
#include "control/distribution/RecordReplica.h"
#include "control/records/StoreFollower.h"
#include "core/timing/ManualTimerService.h"

#include <memory>
#include <optional>

namespace boragetrack::tests {

/**
    Owns a follower, its replica and the calls that the store has yet to serve.

    A response passes three steps, between which the store may change: its events are collected, its
    revision is read, and the node receives it.
*/
class FollowingNode : private control::records::StoreFollower::Listener
{
public:
    using Revision = core::identity::Revision;
    using RecordChanges = control::records::RecordChanges;
    using RecordPage = control::records::RecordPage;

    explicit FollowingNode(std::uint64_t seed)
        : follower_(store_, timers_, *this, seed)
    {
        follower_.start();
    }

    const control::records::RecordTable &table() const { return replica_.table(); }
    control::distribution::RecordReplica &replica() { return replica_; }
    control::records::StoreFollower &follower() { return follower_; }

    void advance(std::chrono::milliseconds step) { timers_.advance(step); }

    /** Collects the records of the listing's pending page. Its revision is that of the same moment,
        unless it is read later. */
    void answerList(const RecordHistory &history, std::size_t pageSize)
    {
        if (store_.lists.empty() || page_)
            return;
        page_ = history.pageAfter(store_.lists.front().first, pageSize);
    }

    void receivePage()
    {
        if (!page_)
            return;
        const auto page = *std::exchange(page_, std::nullopt);
        respond(store_.lists, absl::StatusOr<RecordPage>(page));
    }

    /** Collects the events of a pending watch or read. Without any, the call goes on unless its
        time is over. */
    void collectEvents(const RecordHistory &history, std::size_t place, bool isOver)
    {
        if (store_.watches.empty() || collected_)
            return;
        const auto call = store_.watches.begin()
                          + static_cast<std::ptrdiff_t>(place % store_.watches.size());
        auto changes = history.changesAfter(call->first);
        if (changes.changes.empty() && !isOver)
            return;
        collected_.emplace(std::move(changes), call->second);
        isRevisionRead_ = false;
        store_.watches.erase(call);
    }

    /** Writes the store's present revision into the collected responses. */
    void readRevision(const RecordHistory &history)
    {
        if (page_)
            page_->revision = history.revision();
        if (!collected_ || std::exchange(isRevisionRead_, true))
            return;
        collected_->first.revision = history.revision();
    }

    void receiveChanges()
    {
        if (!collected_ || !isRevisionRead_)
            return;
        const auto call = *std::exchange(collected_, std::nullopt);
        call.second(call.first);
    }

    /** Fails a pending watch or read. */
    void failWatch(const absl::Status &error)
    {
        if (!store_.watches.empty())
            respond(store_.watches, absl::StatusOr<RecordChanges>(error));
    }

    void answerProbe(const RecordHistory &history)
    {
        if (!store_.probes.empty())
            respond(store_.probes, absl::StatusOr<Revision>(history.revision()));
    }

private:
    void recordsListed(const std::vector<control::records::StoreRecord> &records,
                       Revision revision) override
    {
        replica_.applyListing(records, revision);
    }
    void recordsChanged(const RecordChanges &changes) override { replica_.applyChanges(changes); }
    void storeUnavailable(const absl::Status & /*error*/) override {}
    void storeRecovered() override {}

    PendingStore store_;
    core::timing::ManualTimerService timers_;
    control::distribution::RecordReplica replica_{std::make_unique<AllKeysReader>()};
    std::optional<RecordPage> page_;
    std::optional<std::pair<RecordChanges, PendingStore::Callback<RecordChanges>>> collected_;
    bool isRevisionRead_ = false;
    control::records::StoreFollower follower_;
};

} // namespace boragetrack::tests
