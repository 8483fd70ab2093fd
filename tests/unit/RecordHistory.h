/** A model of the platform's store for tests of its copies. */
#pragma once

#include "control/records/RecordChanges.h"
#include "control/records/RecordPage.h"
#include "control/records/RecordTable.h"

#include <map>
#include <string>

namespace boragetrack::tests {

/** Keeps every change of every key, so that a copy can be compared with any earlier state. */
class RecordHistory
{
public:
    /** Writes a key; its text is the number of the change. */
    void put(const std::string &key)
    {
        const auto revision = advance();
        changes_[key].push_back({key, revision, std::to_string(revision.number()), false});
    }

    /** Removes a key; does nothing without a record. */
    void remove(const std::string &key)
    {
        if (exists(key))
            changes_[key].push_back({key, advance(), {}, true});
    }

    core::identity::Revision revision() const { return revision_; }

    /** Returns the present records after a key, as a page of a listing. */
    control::records::RecordPage pageAfter(const std::string &after, std::size_t size) const
    {
        control::records::RecordPage page;
        page.revision = revision_;
        for (auto it = changes_.upper_bound(after); it != changes_.end(); ++it) {
            if (it->second.back().isRemoved)
                continue;
            page.isTruncated = page.records.size() == size;
            if (page.isTruncated)
                break;
            page.records.push_back(it->second.back());
        }
        return page;
    }

    /** Returns the changes after a revision in their order, as the response to a watch. */
    control::records::RecordChanges changesAfter(core::identity::Revision revision) const
    {
        std::map<core::identity::Revision, control::records::StoreRecord> ordered;
        for (const auto &[key, changes] : changes_) {
            for (const auto &change : changes) {
                if (change.revision > revision)
                    ordered.emplace(change.revision, change);
            }
        }
        control::records::RecordChanges result;
        result.revision = revision_;
        for (const auto &[number, change] : ordered)
            result.changes.push_back(change);
        return result;
    }

    /** Returns how a copy's key is older than the copy's revision says, or an empty text. */
    std::string faultOf(const control::records::RecordTable &table) const
    {
        for (const auto &[key, changes] : changes_) {
            const auto *held = table.find(key);
            if (!wasHeldSince(changes, held, table.revision()))
                return key + (held == nullptr ? " is absent" : " is " + held->text)
                       + " at revision " + std::to_string(table.revision().number());
        }
        return {};
    }

private:
    using Changes = std::vector<control::records::StoreRecord>;

    core::identity::Revision advance() { return revision_ = revision_.next(); }

    bool exists(const std::string &key) const
    {
        const auto found = changes_.find(key);
        return found != changes_.end() && !found->second.back().isRemoved;
    }

    // Returns whether a key had the state at a revision or had it later.
    static bool wasHeldSince(const Changes &changes, const control::records::StoreRecord *held,
                             core::identity::Revision revision)
    {
        if (held == nullptr && revision < changes.front().revision)
            return true;
        for (std::size_t i = 0; i < changes.size(); ++i) {
            const bool isSame = held == nullptr
                                        ? changes[i].isRemoved
                                        : !changes[i].isRemoved && changes[i].text == held->text;
            const bool isLast = i + 1 == changes.size();
            if (isSame && (isLast || changes[i + 1].revision > revision))
                return true;
        }
        return false;
    }

    // Invariant: each key has at least one change; revisions increase.
    std::map<std::string, Changes> changes_;
    core::identity::Revision revision_;
};

} // namespace boragetrack::tests
