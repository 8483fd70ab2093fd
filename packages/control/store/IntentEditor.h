/** Changes the intent by compare-and-swap. */
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
    Reads the intent, applies one change, validates the result and swaps it in.

    A lost answer is settled by reading back the change id. The compare-and-swap on the version that
    was read fences writers that were paused: their expected version is gone.
*/
class IntentEditor
{
public:
    /** Applies the change to a document. @returns an error to refuse the change */
    using Mutation = std::function<absl::Status(nlohmann::json &document)>;

    IntentEditor(ConfigStore &store, EditWaiter &waiter)
        : store_(store)
        , audit_(store)
        , waiter_(waiter)
    {}

    /** Reads the stored envelope; NotFound before the first intent is stored. */
    absl::StatusOr<intent::IntentEnvelope> read();

    /** Applies one change. @param floor the highest revision known to be served; an older stored
        intent is never built upon */
    EditResult edit(const intent::ChangeRecord &change, const Mutation &mutation,
                    core::identity::Revision floor = {});

private:
    struct Base
    {
        StoreVersion version;
        intent::IntentEnvelope envelope;
    };

    absl::StatusOr<Base> readBase();
    EditResult swap(const Base &base, const intent::IntentEnvelope &next);
    EditResult settle(const Base &base, const intent::IntentEnvelope &next);
    EditResult conflictWith(const Base &base, const intent::IntentEnvelope &winner) const;

    ConfigStore &store_;
    AuditTrail audit_;
    EditWaiter &waiter_;
};

} // namespace boragetrack::control::store
