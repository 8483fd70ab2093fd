/** The age of what a node knows of keys. */
#pragma once

#include "control/distribution/ControlPlane.h"
#include "core/concurrency/Published.h"
#include "traffic/access/KeyFreshness.h"

namespace boragetrack::daemon::service {

/** Publishes the time of the last contact with the store to the traffic thread, and logs when keyed
    requests begin and cease to be refused because of it. Used on the control thread only. */
class KeyMonitor
{
public:
    /** @param contact receives the time; must outlive this object */
    KeyMonitor(const traffic::access::KeyFreshness &freshness,
               core::concurrency::Published<traffic::access::StoreContactTime> &contact)
        : freshness_(freshness)
        , contact_(contact)
    {}

    /** Publishes the last contact if there was another one since. */
    void update(const control::distribution::ControlPlane &plane, core::timing::MonotonicTime now);

private:
    void logChange(const traffic::access::StoreContactTime &contact,
                   core::timing::MonotonicTime now);

    traffic::access::KeyFreshness freshness_;
    core::concurrency::Published<traffic::access::StoreContactTime> &contact_;
    // Whether keyed requests are refused, by the last line of the log.
    bool isRefusing_ = false;
};

} // namespace boragetrack::daemon::service
