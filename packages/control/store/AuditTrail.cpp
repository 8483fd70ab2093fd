/** Stores the entries of a day as a JSON array under one key and appends with compare-and-swap. */
#include "control/store/AuditTrail.h"

#include "control/intent/IntentEnvelope.h"
#include "control/store/StoreKeys.h"

#include <algorithm>

namespace boragetrack::control::store {

using nlohmann::json;

namespace {

// Appending is idempotent, so after a lost response or a conflicting write it is simply retried.
constexpr int appendAttempts = 5;

std::string keyOf(core::timing::WallTime day)
{
    return auditKeyPrefix + core::timing::formatWallTime(day).substr(0, 10);
}

json toJson(const AuditEntry &entry)
{
    json object = intent::toJson(entry.change);
    object["revision"] = entry.revision.number();
    object["outcome"] = entry.outcome;
    return object;
}

AuditEntry entryFromJson(const json &object)
{
    return AuditEntry{intent::changeFromJson(object),
                      core::identity::Revision(object.value("revision", std::uint64_t{0})),
                      object.value("outcome", "")};
}

bool containsChange(const json &entries, const std::string &changeId)
{
    return std::any_of(entries.begin(), entries.end(),
                       [&](const json &entry) { return entry.value("changeId", "") == changeId; });
}

json parseEntries(const std::string &text)
{
    const json entries = json::parse(text, nullptr, false);
    return entries.is_array() ? entries : json::array();
}

} // namespace

absl::Status AuditTrail::append(const AuditEntry &entry)
{
    const std::string key = keyOf(entry.change.time);
    absl::Status last;
    for (int attempt = 0; attempt < appendAttempts; ++attempt) {
        const auto stored = store_.read(key);
        if (!stored.ok() && !absl::IsNotFound(stored.status()))
            return stored.status();
        json entries = stored.ok() ? parseEntries(stored->value) : json::array();
        if (containsChange(entries, entry.change.changeId))
            return absl::OkStatus();
        entries.push_back(toJson(entry));
        const StoreVersion expected = stored.ok() ? stored->version : StoreVersion{};
        last = store_.compareAndSwap(key, expected, entries.dump()).status();
        if (last.ok())
            return last;
    }
    return last;
}

absl::StatusOr<std::vector<AuditEntry>> AuditTrail::read(core::timing::WallTime day)
{
    const auto stored = store_.read(keyOf(day));
    std::vector<AuditEntry> entries;
    if (absl::IsNotFound(stored.status()))
        return entries;
    if (!stored.ok())
        return stored.status();
    for (const json &object : parseEntries(stored->value))
        entries.push_back(entryFromJson(object));
    return entries;
}

} // namespace boragetrack::control::store
