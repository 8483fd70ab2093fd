/** Editor of the stored intent, for the command line and for nodes that record outcomes. */
#pragma once

#include "control/intent/ChangeRecord.h"
#include "control/intent/IntentEnvelope.h"
#include "control/store/AuditTrail.h"
#include "control/store/ConfigStore.h"
#include "control/store/EditResult.h"
#include "control/store/EditWaiter.h"

#include <functional>
#include <optional>

namespace boragetrack::control::store {

/**
    Reads the intent, applies a change, validates the result and writes it with compare-and-swap.

    If the response to the write is lost, the change id in the store shows whether it took effect.
    A writer that was paused can not overwrite later changes, because its expected version no
    longer matches.
*/
class IntentEditor
{
public:
    /** Modifies a document. @returns an error to refuse the change */
    using Mutation = std::function<absl::Status(nlohmann::json &document)>;

    /** @param store and @param waiter must outlive the editor */
    IntentEditor(ConfigStore &store, EditWaiter &waiter)
        : store_(store)
        , audit_(store)
        , waiter_(waiter)
    {}

    /** Returns the stored envelope. Errors: NotFound before the first intent is stored, DataLoss if
        the stored text is not an envelope, and those of the store. */
    absl::StatusOr<intent::IntentEnvelope> read();

    /** Applies one change. Blocks until its outcome is known; if the response to the write was
        lost, for up to 30 seconds plus the time of the store calls.
        @param change its action and reason must not contain a key of an organisation; otherwise
        the edit is refused
        @param minimumRevision the highest revision that nodes are known to serve; the edit is
        refused if the stored intent is older */
    EditResult edit(const intent::ChangeRecord &change, const Mutation &mutation,
                    core::identity::Revision minimumRevision = {});

private:
    // The intent that an edit starts from, with its version in the store.
    struct Base
    {
        StoreVersion version;
        intent::IntentEnvelope envelope;
    };

    absl::StatusOr<Base> readBase();
    EditResult swap(const Base &base, const intent::IntentEnvelope &next);
    // Determines whether a write took effect whose response was lost.
    EditResult resolveLostResponse(const Base &base, const intent::IntentEnvelope &next);
    EditResult makeConflict(const Base &base, const intent::IntentEnvelope &winner) const;

    ConfigStore &store_;
    AuditTrail audit_;
    EditWaiter &waiter_;
};

} // namespace boragetrack::control::store
