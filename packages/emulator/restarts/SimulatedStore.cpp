/** Each write of a transaction has a revision of its own. */
#include "emulator/restarts/SimulatedStore.h"

#include <algorithm>

namespace boragetrack::emulator::restarts {

using control::records::RecordChanges;
using control::records::RecordPage;
using control::records::RecordWrite;
using control::records::StoreRecord;
using core::identity::Revision;

Revision SimulatedStore::put(const std::string &key, const std::string &text)
{
    write(key, text);
    reportChange();
    return revision_;
}

RecordPage SimulatedStore::list(const std::string &prefix) const
{
    RecordPage page;
    page.revision = revision_;
    for (const auto &[key, record] : records_) {
        if (key.starts_with(prefix))
            page.records.push_back(record);
    }
    return page;
}

RecordChanges SimulatedStore::changesSince(const std::string &prefix, Revision after) const
{
    RecordChanges result;
    result.revision = revision_;
    std::copy_if(history_.begin(), history_.end(), std::back_inserter(result.changes),
                 [&](const StoreRecord &record) {
                     return record.revision > after && record.key.starts_with(prefix);
                 });
    return result;
}

absl::StatusOr<Revision> SimulatedStore::commit(const std::vector<RecordWrite> &writes)
{
    for (const RecordWrite &entry : writes) {
        const auto found = records_.find(entry.key);
        const Revision held = found == records_.end() ? Revision{} : found->second.revision;
        if (held != entry.expected)
            return absl::AbortedError("conflict");
    }
    for (const RecordWrite &entry : writes)
        write(entry.key, entry.text);
    reportChange();
    return revision_;
}

void SimulatedStore::write(const std::string &key, const std::string &text)
{
    revision_ = revision_.next();
    records_[key] = StoreRecord{key, revision_, text, false};
    history_.push_back(records_[key]);
}

void SimulatedStore::reportChange()
{
    std::vector<Watch> waiting = std::exchange(watches_, {});
    std::erase_if(waiting, [](const Watch &watch) { return watch(); });
    watches_.insert(watches_.end(), waiting.begin(), waiting.end());
}

} // namespace boragetrack::emulator::restarts
