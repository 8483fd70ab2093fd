/** Before a change replaces the stored one, appends the stored one to the audit trail, so that the
    trail has no gaps. If the response to the write is lost, reads the store and retries the write
    until the outcome is certain. */
#include "control/store/IntentEditor.h"

#include "control/intent/IntentParser.h"
#include "control/intent/KeyMentions.h"
#include "control/store/StoreKeys.h"

namespace boragetrack::control::store {

using core::identity::Revision;
using intent::IntentEnvelope;
using nlohmann::json;

namespace {

constexpr int resolveAttempts = 60;
constexpr std::chrono::milliseconds resolveInterval{500};
constexpr const char *acceptedOutcome = "accepted";

json emptyDocument()
{
    return json{{"dataCentres", json::array()}, {"services", json::array()},
                {"routes", json::array()},      {"defaults", json::object()},
                {"exceptions", json::array()},  {"moves", json::array()}};
}

bool isKnownToHaveNoEffect(const absl::Status &status)
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
                              Revision minimumRevision)
{
    const auto base = readBase();
    if (!base.ok())
        return {EditOutcome::PlatformUnavailable, {}, std::string(base.status().message())};
    const Revision stored = base->envelope.revision;
    if (stored < minimumRevision) {
        return {EditOutcome::Refused, stored,
                "the platform holds revision " + std::to_string(stored.number())
                        + " but nodes serve " + std::to_string(minimumRevision.number())
                        + "; restore the platform's data first"};
    }
    IntentEnvelope next{stored.next(), change, base->envelope.document};
    if (const absl::Status status = mutation(next.document); !status.ok())
        return {EditOutcome::Refused, stored, std::string(status.message())};
    intent::KeyMentions keys;
    keys.addKeysOf(base->envelope.document);
    keys.addKeysOf(next.document);
    if (keys.areIn(change.action) || keys.areIn(change.reason)) {
        return {EditOutcome::Refused, stored,
                "the action or the reason contains a key of an organisation, which the audit trail "
                "must not hold"};
    }
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
    // Completes the trail if the writer of the stored change ended before it appended the change.
    if (base.envelope.revision != Revision{}) {
        const absl::Status appended
                = audit_.append({base.envelope.change, base.envelope.revision, acceptedOutcome});
        if (!appended.ok())
            return {EditOutcome::PlatformUnavailable, base.envelope.revision,
                    std::string(appended.message())};
    }
    const auto version = store_.compareAndSwap(intentKey, base.version, next.toText());
    if (version.ok()) {
        // Failure is harmless, because the next change appends this one if it is missing.
        (void)audit_.append({next.change, next.revision, acceptedOutcome});
        return {EditOutcome::Accepted, next.revision, ""};
    }
    if (isKnownToHaveNoEffect(version.status()))
        return {EditOutcome::PlatformUnavailable, base.envelope.revision,
                std::string(version.status().message())};
    return resolveLostResponse(base, next);
}

EditResult IntentEditor::resolveLostResponse(const Base &base, const IntentEnvelope &next)
{
    for (int attempt = 0; attempt < resolveAttempts; ++attempt) {
        const auto current = readBase();
        if (!current.ok()) {
            waiter_.wait(resolveInterval);
            continue;
        }
        if (current->envelope.change.changeId == next.change.changeId)
            return {EditOutcome::Accepted, next.revision, ""};
        if (current->version != base.version) {
            // A later change may have replaced this one already; the trail then contains it.
            const auto trail = audit_.read(next.change.time);
            if (trail.ok()) {
                for (const AuditEntry &entry : *trail) {
                    if (entry.change.changeId == next.change.changeId)
                        return {EditOutcome::Accepted, next.revision, ""};
                }
                return makeConflict(base, current->envelope);
            }
            waiter_.wait(resolveInterval);
            continue;
        }
        // The lost write may still be in progress. Retrying with the same expected version can not
        // apply the change twice, and makes its outcome certain.
        const auto version = store_.compareAndSwap(intentKey, base.version, next.toText());
        if (version.ok())
            return {EditOutcome::Accepted, next.revision, ""};
        waiter_.wait(resolveInterval);
    }
    return {EditOutcome::Unknown, base.envelope.revision,
            "the platform stopped responding; change " + next.change.changeId
                    + " took effect only if 'history' lists it"};
}

EditResult IntentEditor::makeConflict(const Base &base, const IntentEnvelope &winner) const
{
    const json difference
            = intent::withShortDigests(json::diff(base.envelope.document, winner.document));
    return {EditOutcome::Conflict, winner.revision,
            "revision " + std::to_string(winner.revision.number()) + " by " + winner.change.author
                    + " came first (" + winner.change.action
                    + "); it changed: " + difference.dump()};
}

} // namespace boragetrack::control::store
