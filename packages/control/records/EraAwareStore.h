/** Calls of a store that may come back from a copy. */
#pragma once

#include "control/records/RecordStore.h"
#include "control/records/StoreEra.h"

#include <memory>

namespace boragetrack::control::records {

/**
    Gives the revisions in a store's responses their era, and keeps those of an earlier era from its
    calls.

    The store's number of an earlier era says nothing about its present state. A watch after such a
    revision fails like one whose history was compacted, so that the records are listed again; a
    write on the condition of one fails like one whose condition does not hold. Both ask the store
    first whether it responds. Used on the control thread only.
*/
class EraAwareStore : public RecordStore
{
public:
    /** @param store must outlive this object */
    explicit EraAwareStore(RecordStore &store)
        : store_(store)
    {}

    void list(const std::string &prefix, const std::string &after,
              std::chrono::milliseconds timeout, Callback<RecordPage> callback) override;
    void watch(const std::string &prefix, core::identity::Revision after,
               std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
               Callback<RecordChanges> callback) override;
    void probe(ReadConsistency consistency, std::chrono::milliseconds timeout,
               Callback<core::identity::Revision> callback) override;
    void commit(const std::vector<RecordWrite> &writes, std::chrono::milliseconds timeout,
                Callback<core::identity::Revision> callback) override;
    void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds timeout,
                    Callback<Lease> callback) override;
    void renewLease(const Lease &lease, std::chrono::milliseconds timeout,
                    Callback<Lease> callback) override;

private:
    /** Sends no call but a cheap one, and fails with an error if the store responds to that. */
    template <typename Response>
    void refuse(const absl::Status &error, std::chrono::milliseconds timeout,
                Callback<Response> callback);

    /** Returns a callback that gives a response its era, or replaces it by an error. */
    template <typename Response>
    Callback<Response> withEra(ReadConsistency consistency, Callback<Response> callback);

    /** Returns a callback that refuses changes of a later era than a revision. */
    static Callback<RecordChanges> withinEra(core::identity::Revision after,
                                             Callback<RecordChanges> callback);

    RecordStore &store_;
    // Outlives this object as long as responses may arrive. Never null.
    std::shared_ptr<StoreEra> era_ = std::make_shared<StoreEra>();
};

} // namespace boragetrack::control::records
