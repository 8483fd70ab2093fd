/** Logs only while the intent has organisations; without them nothing is refused. */
#include "daemon/service/KeyMonitor.h"

#include "core/events/EventLog.h"

namespace boragetrack::daemon::service {

using traffic::access::StoreContactTime;

void KeyMonitor::update(const control::distribution::ControlPlane &plane,
                        core::timing::MonotonicTime now)
{
    const StoreContactTime contact{plane.lastStoreContact()};
    if (contact.last != contact_.current()->last)
        contact_.publish(std::make_shared<const StoreContactTime>(contact));
    const bool isRefusing = plane.snapshot()->document().organisations
                            && !freshness_.areKeysCurrent(contact, now);
    if (isRefusing == isRefusing_)
        return;
    isRefusing_ = isRefusing;
    logChange(contact, now);
}

void KeyMonitor::logChange(const StoreContactTime &contact, core::timing::MonotonicTime now)
{
    using std::chrono::milliseconds;
    const std::string age = contact.last ? std::to_string(
                                    std::chrono::floor<milliseconds>(now - *contact.last).count())
                                         : "none";
    core::events::logEvent(core::events::EventCode::KeysOutOfDate,
                           isRefusing_ ? "keys may be out of date" : "keys are up to date again",
                           {{"refuses", isRefusing_ ? "yes" : "no"}, {"contactMs", age}});
}

} // namespace boragetrack::daemon::service
