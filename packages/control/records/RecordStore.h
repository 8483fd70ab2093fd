/** The interface to the platform's key-value store. */
#pragma once

#include "control/records/Lease.h"
#include "control/records/ReadConsistency.h"
#include "control/records/RecordChanges.h"
#include "control/records/RecordPage.h"
#include "control/records/RecordWrite.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <vector>

namespace boragetrack::control::records {

/**
    Sends calls to the store without blocking; callbacks run on the control thread.

    Errors: Unavailable if nothing was executed, ResourceExhausted if the store refused the call for
    its rate, Unknown if the response was lost or late, NotFound for an expired lease, OutOfRange if
    the requested history was compacted or is too large to be read at once, DataLoss if a response
    can not be read, Aborted if a condition failed.
*/
class RecordStore
{
public:
    template <typename Response>
    using Callback = std::function<void(absl::StatusOr<Response>)>;

    virtual ~RecordStore() = default;

    /** Reads a page of records.
        @param after the key after which the page starts; empty for the first page */
    virtual void list(const std::string &prefix, const std::string &after,
                      std::chrono::milliseconds timeout, Callback<RecordPage> callback)
            = 0;

    /** Waits for changes after a revision. The response has the revision that the store named,
       which may be that of a later change than the response carries.
        @param wait the maximum time for which the store holds the call open */
    virtual void watch(const std::string &prefix, core::identity::Revision after,
                       std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
                       Callback<RecordChanges> callback)
            = 0;

    /** Checks whether the store responds, and reads its revision. */
    virtual void probe(ReadConsistency consistency, std::chrono::milliseconds timeout,
                       Callback<core::identity::Revision> callback)
            = 0;

    /** Writes all records or none. The result is the revision of the change. */
    virtual void commit(const std::vector<RecordWrite> &writes, std::chrono::milliseconds timeout,
                        Callback<core::identity::Revision> callback)
            = 0;

    /** Creates a lease. */
    virtual void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds timeout,
                            Callback<Lease> callback)
            = 0;

    /** Renews a lease. */
    virtual void renewLease(const Lease &lease, std::chrono::milliseconds timeout,
                            Callback<Lease> callback)
            = 0;
};

} // namespace boragetrack::control::records
