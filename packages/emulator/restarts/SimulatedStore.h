/** The platform's store in a simulation. */
#pragma once

#include "control/records/RecordStore.h"
#include "emulator/clock/EventClock.h"
#include "emulator/restarts/StoreAccess.h"

#include <map>
#include <optional>
#include <set>

namespace boragetrack::emulator::restarts {

/** Holds records and their history, and reports changes to waiting watches. Calls are executed at
    once; StoreClient adds delays and failures. */
class SimulatedStore
{
public:
    /** Returns whether a watch has ended, after it was offered the changes. */
    using Watch = std::function<bool()>;

    /** Writes a record unconditionally, as operators do. @returns its revision */
    core::identity::Revision put(const std::string &key, const std::string &text);

    /** Returns all records under a prefix. */
    control::records::RecordPage list(const std::string &prefix) const;

    /** Returns the changes under a prefix after a revision. */
    control::records::RecordChanges changesSince(const std::string &prefix,
                                                 core::identity::Revision after) const;

    /** Writes all records, or returns Aborted if a condition fails. */
    absl::StatusOr<core::identity::Revision>
    commit(const std::vector<control::records::RecordWrite> &writes);

    /** Returns a new lease; leases outlive each simulation. */
    control::records::Lease grantLease(std::chrono::milliseconds timeToLive)
    {
        return {++lastLease_, timeToLive};
    }

    /** Returns the revision of the last change. */
    core::identity::Revision revision() const { return revision_; }

    /** Calls a watch after each change until it has ended. */
    void addWatch(Watch watch) { watches_.push_back(std::move(watch)); }

    /** Sets how the calls of a node are treated from now on. */
    void setAccess(std::size_t node, StoreAccess access) { access_[node] = access; }

    /** Returns how the calls of a node are treated. */
    StoreAccess accessOf(std::size_t node) const
    {
        const auto found = access_.find(node);
        return found == access_.end() ? StoreAccess::Served : found->second;
    }

    /** Fails the pending watches of a node. */
    void endWatches(std::size_t node)
    {
        ++watchEnds_[node];
        reportChange();
    }

    /** Returns how often the pending watches of a node were made to fail. */
    std::uint64_t watchEndsOf(std::size_t node) const
    {
        const auto found = watchEnds_.find(node);
        return found == watchEnds_.end() ? 0 : found->second;
    }

    /** Sets by how much changes are late at the pending watches of a node from now on. */
    void setWatchDelay(std::size_t node, std::chrono::milliseconds delay)
    {
        watchDelays_[node] = delay;
    }

    /** Returns by how much changes are late at the pending watches of a node. */
    std::chrono::milliseconds watchDelayOf(std::size_t node) const
    {
        const auto found = watchDelays_.find(node);
        return found == watchDelays_.end() ? std::chrono::milliseconds(0) : found->second;
    }

private:
    void write(const std::string &key, const std::string &text);
    void reportChange();

    std::map<std::string, control::records::StoreRecord> records_;
    // In the order of their revisions.
    std::vector<control::records::StoreRecord> history_;
    core::identity::Revision revision_;
    std::uint64_t lastLease_ = 0;
    std::vector<Watch> watches_;
    std::map<std::size_t, StoreAccess> access_;
    std::map<std::size_t, std::chrono::milliseconds> watchDelays_;
    std::map<std::size_t, std::uint64_t> watchEnds_;
};

} // namespace boragetrack::emulator::restarts
