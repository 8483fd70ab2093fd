/** The platform's store of entries. */
#pragma once

#include "control/records/Lease.h"
#include "control/records/RecordChanges.h"
#include "control/records/RecordPage.h"
#include "control/records/RecordWrite.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <vector>

namespace boragetrack::control::records {

/**
    Sends calls to the store without blocking; answers come back on the control thread.

    Errors: Unavailable when nothing was done, ResourceExhausted when the store refused the call for
    its rate, Unknown when the answer was lost or late, NotFound for an ended lease, OutOfRange when
    the history is gone, Aborted when a condition does not hold.
*/
class RecordStore
{
public:
    template <typename Response>
    using Callback = std::function<void(absl::StatusOr<Response>)>;

    virtual ~RecordStore() = default;

    /** Reads a page of entries. @param after the key after which the page begins */
    virtual void list(const std::string &prefix, const std::string &after,
                      std::chrono::milliseconds timeout, Callback<RecordPage> callback)
            = 0;

    /** Waits for changes after a revision. @param wait how long the store waits for one */
    virtual void watch(const std::string &prefix, core::identity::Revision after,
                       std::chrono::milliseconds wait, std::chrono::milliseconds timeout,
                       Callback<RecordChanges> callback)
            = 0;

    /** Asks whether the store answers, at a small part of a call's price. The answer is a revision
        that may be some seconds old. */
    virtual void probe(std::chrono::milliseconds timeout,
                       Callback<core::identity::Revision> callback)
            = 0;

    /** Writes all or nothing; the answer is the revision of the change. */
    virtual void commit(const std::vector<RecordWrite> &writes, std::chrono::milliseconds timeout,
                        Callback<core::identity::Revision> callback)
            = 0;

    /** Begins a lease. */
    virtual void grantLease(std::chrono::milliseconds timeToLive, std::chrono::milliseconds timeout,
                            Callback<Lease> callback)
            = 0;

    /** Renews a lease. */
    virtual void renewLease(const Lease &lease, std::chrono::milliseconds timeout,
                            Callback<Lease> callback)
            = 0;
};

} // namespace boragetrack::control::records
