/** Eras that other nodes have told of arrive with the revisions that calls refer to. */
#include "control/records/EraAwareStore.h"

#include <algorithm>

namespace boragetrack::control::records {

using core::identity::Revision;

namespace {

void setEra(Revision &revision, std::uint64_t era)
{
    revision = Revision::inEra(era, revision.numberInEra());
}

void setEra(std::vector<StoreRecord> &records, std::uint64_t era)
{
    for (StoreRecord &record : records)
        setEra(record.revision, era);
}

void setEra(RecordPage &page, std::uint64_t era)
{
    setEra(page.revision, era);
    setEra(page.records, era);
}

void setEra(RecordChanges &changes, std::uint64_t era)
{
    setEra(changes.revision, era);
    setEra(changes.changes, era);
}

Revision namedBy(const Revision &revision)
{
    return revision;
}

template <typename Response>
Revision namedBy(const Response &response)
{
    return response.revision;
}

} // namespace

template <typename Response>
RecordStore::Callback<Response> EraAwareStore::withEra(ReadConsistency consistency,
                                                       Callback<Response> callback)
{
    return [era = era_, call = era_->beginCall(), consistency,
            callback = std::move(callback)](absl::StatusOr<Response> response) {
        if (response.ok()) {
            const auto known = era->recordResponse(call, namedBy(*response), consistency);
            if (known)
                setEra(*response, *known);
            else
                response = absl::UnknownError(
                        "the response may be from before the store came back from a copy");
        }
        callback(std::move(response));
    };
}

template <typename Response>
void EraAwareStore::refuse(const absl::Status &error, std::chrono::milliseconds timeout,
                           Callback<Response> callback)
{
    probe(ReadConsistency::MayBeStale, timeout,
          [error, callback = std::move(callback)](const absl::StatusOr<Revision> &response) {
              callback(response.ok() ? error : response.status());
          });
}

//==============================================================================
void EraAwareStore::list(const std::string &prefix, const std::string &after,
                         std::chrono::milliseconds timeout, Callback<RecordPage> callback)
{
    store_.list(prefix, after, timeout,
                withEra(ReadConsistency::Linearizable, std::move(callback)));
}

void EraAwareStore::watch(const std::string &prefix, Revision after, std::chrono::milliseconds wait,
                          std::chrono::milliseconds timeout, Callback<RecordChanges> callback)
{
    era_->recordEra(after.era());
    if (after.era() < era_->current())
        refuse(absl::OutOfRangeError("the store came back from a copy since that revision"),
               timeout, std::move(callback));
    else
        store_.watch(prefix, after, wait, timeout,
                     withEra(ReadConsistency::Linearizable, withinEra(after, std::move(callback))));
}

// The store counted the events of a later era from a number of this one, so that those before it
// are missing.
RecordStore::Callback<RecordChanges> EraAwareStore::withinEra(Revision after,
                                                              Callback<RecordChanges> callback)
{
    return [after, callback = std::move(callback)](absl::StatusOr<RecordChanges> response) {
        if (response.ok() && response->revision.era() > after.era())
            response = absl::OutOfRangeError("the store came back from a copy during the watch");
        callback(std::move(response));
    };
}

void EraAwareStore::probe(ReadConsistency consistency, std::chrono::milliseconds timeout,
                          Callback<Revision> callback)
{
    store_.probe(consistency, timeout, withEra(consistency, std::move(callback)));
}

void EraAwareStore::commit(const std::vector<RecordWrite> &writes,
                           std::chrono::milliseconds timeout, Callback<Revision> callback)
{
    const bool hasEarlierCondition
            = std::any_of(writes.begin(), writes.end(), [&](const RecordWrite &write) {
                  return write.expected != Revision{} && write.expected.era() < era_->current();
              });
    if (hasEarlierCondition)
        refuse(absl::AbortedError("the store came back from a copy since the expected revision"),
               timeout, std::move(callback));
    else
        store_.commit(writes, timeout, withEra(ReadConsistency::Linearizable, std::move(callback)));
}

void EraAwareStore::grantLease(std::chrono::milliseconds timeToLive,
                               std::chrono::milliseconds timeout, Callback<Lease> callback)
{
    store_.grantLease(timeToLive, timeout, std::move(callback));
}

void EraAwareStore::renewLease(const Lease &lease, std::chrono::milliseconds timeout,
                               Callback<Lease> callback)
{
    store_.renewLease(lease, timeout, std::move(callback));
}

} // namespace boragetrack::control::records
