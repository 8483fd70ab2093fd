/** Implements IntentEditor. */
#include "control/store/IntentEditor.h"

#include "control/intent/IntentParser.h"
#include "control/store/StoreKeys.h"

namespace boragetrack::control::store {

using core::identity::Revision;
using intent::IntentEnvelope;
using nlohmann::json;

namespace {

constexpr int settleAttempts = 60;
constexpr std::chrono::milliseconds settleInterval{500};
constexpr const char *acceptedOutcome = "accepted";

json emptyDocument()
{
    return json{{"dataCentres", json::array()}, {"services", json::array()},
                {"routes", json::array()},      {"defaults", json::object()},
                {"exceptions", json::array()},  {"moves", json::array()}};
}

bool hadNoEffect(const absl::Status &status)
{
    return absl::IsUnavailable(status) || absl::IsResourceExhausted(status)
           || absl::IsInvalidArgument(status);
}

} // namespace

absl::StatusOr<IntentEnvelope> IntentEditor::read()
{
    const auto stored = store_.read(intentKey);
    if (!stored.ok())
        return stored.status();
    const auto envelope = IntentEnvelope::fromText(stored->value);
    if (!envelope)
        return absl::DataLossError("the stored intent is not an envelope");
    return *envelope;
}

EditResult IntentEditor::edit(const intent::ChangeRecord &change, const Mutation &mutation,
                              Revision floor)
{
    const auto base = readBase();
    if (!base.ok())
        return {EditOutcome::PlatformUnavailable, {}, std::string(base.status().message())};
    const Revision stored = base->envelope.revision;
    if (stored < floor) {
        return {EditOutcome::Refused, stored,
                "the platform holds revision " + std::to_string(stored.number())
                        + " but nodes serve " + std::to_string(floor.number())
                        + "; restore the platform's data first"};
    }
    IntentEnvelope next{stored.next(), change, base->envelope.document};
    if (const absl::Status status = mutation(next.document); !status.ok())
        return {EditOutcome::Refused, stored, std::string(status.message())};
    core::findings::FindingList findings("intent");
    if (next.toText().size() > intent::maximumDocumentBytes)
        findings.add("", "the stored document would exceed 1 MB");
    intent::readIntent(next.document, findings);
    if (!findings.isEmpty())
        return {EditOutcome::Refused, stored, findings.toString()};
    return swap(*base, next);
}

absl::StatusOr<IntentEditor::Base> IntentEditor::readBase()
{
    const auto stored = store_.read(intentKey);
    if (absl::IsNotFound(stored.status()))
        return Base{{}, IntentEnvelope{Revision{}, {}, emptyDocument()}};
    if (!stored.ok())
        return stored.status();
    const auto envelope = IntentEnvelope::fromText(stored->value);
    if (!envelope)
        return absl::DataLossError("the stored intent is not an envelope");
    return Base{stored->version, *envelope};
}

EditResult IntentEditor::swap(const Base &base, const IntentEnvelope &next)
{
    // The stored change leaves the trail complete even if its writer died before appending it.
    if (base.envelope.revision != Revision{}) {
        const absl::Status archived
                = audit_.append({base.envelope.change, base.envelope.revision, acceptedOutcome});
        if (!archived.ok())
            return {EditOutcome::PlatformUnavailable, base.envelope.revision,
                    std::string(archived.message())};
    }
    const auto version = store_.compareAndSwap(intentKey, base.version, next.toText());
    if (version.ok()) {
        // Only speeds the trail up: the next change appends this one again if it was lost.
        (void)audit_.append({next.change, next.revision, acceptedOutcome});
        return {EditOutcome::Accepted, next.revision, ""};
    }
    if (hadNoEffect(version.status()))
        return {EditOutcome::PlatformUnavailable, base.envelope.revision,
                std::string(version.status().message())};
    return settle(base, next);
}

EditResult IntentEditor::settle(const Base &base, const IntentEnvelope &next)
{
    for (int attempt = 0; attempt < settleAttempts; ++attempt) {
        const auto current = readBase();
        if (!current.ok()) {
            waiter_.wait(settleInterval);
            continue;
        }
        if (current->envelope.change.changeId == next.change.changeId)
            return {EditOutcome::Accepted, next.revision, ""};
        if (current->version != base.version) {
            // The change may already lie below a later one; the trail then names it.
            const auto trail = audit_.read(next.change.time);
            if (trail.ok()) {
                for (const AuditEntry &entry : *trail) {
                    if (entry.change.changeId == next.change.changeId)
                        return {EditOutcome::Accepted, next.revision, ""};
                }
                return conflictWith(base, current->envelope);
            }
            waiter_.wait(settleInterval);
            continue;
        }
        // The lost write may still be under way. Writing again with the same expected version can
        // not apply the change twice, and settles the matter either way.
        const auto version = store_.compareAndSwap(intentKey, base.version, next.toText());
        if (version.ok())
            return {EditOutcome::Accepted, next.revision, ""};
        waiter_.wait(settleInterval);
    }
    return {EditOutcome::Unknown, base.envelope.revision,
            "the platform stopped answering; change " + next.change.changeId
                    + " is accepted only if 'history' shows it"};
}

EditResult IntentEditor::conflictWith(const Base &base, const IntentEnvelope &winner) const
{
    const json difference = json::diff(base.envelope.document, winner.document);
    return {EditOutcome::Conflict, winner.revision,
            "revision " + std::to_string(winner.revision.number()) + " by " + winner.change.author
                    + " came first (" + winner.change.action
                    + "); it changed: " + difference.dump()};
}

} // namespace boragetrack::control::store
