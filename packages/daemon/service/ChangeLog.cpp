/** A change is reported once while it is missing, and once more when it came. */
#include "daemon/service/ChangeLog.h"

#include "core/events/AgeText.h"
#include "core/events/EventLog.h"

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using core::events::ageText;
using core::events::EventCode;
using std::chrono::milliseconds;

namespace {

std::string millisecondsOf(core::timing::MonotonicTime::duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

} // namespace

void ChangeLog::intentInForce(const ControlPlane &plane, core::timing::MonotonicTime now)
{
    const auto knowledge = plane.storeKnowledge();
    const auto &arrival = plane.changes().arrival();
    const std::string revision = std::to_string(plane.snapshot()->revision().number());
    const std::string from = arrival.source.toString();
    const std::string delay = millisecondsOf(arrival.delay());
    std::optional<milliseconds> sinceProof;
    if (arrival.provenBefore)
        sinceProof = std::chrono::ceil<milliseconds>(now - *arrival.provenBefore);
    core::events::logEvent(EventCode::IntentApplied, "intent in force",
                           {{"revision", revision},
                            {"previousNumber", std::to_string(number_.number())},
                            {"from", from},
                            {"lateMs", delay},
                            {"sinceProofMs", ageText(sinceProof)},
                            {"contactMs", ageText(knowledge.contactAge)},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
    number_ = knowledge.intent.number;
    delays_.add(arrival.delay());
    if (sinceProof) {
        possibleDelays_.add(*sinceProof);
        warnIfPossiblyLate(plane, *sinceProof);
    }
    if (arrival.delay() < reportedDelay)
        return;
    core::events::logEvent(EventCode::IntentLate, "intent late",
                           {{"error", "another node held it " + delay + " ms before"},
                            {"revision", revision},
                            {"from", from},
                            {"follows", knowledge.isFollowing ? "yes" : "no"},
                            {"coveredBy", knowledge.coveredBy.value()},
                            {"contactMs", ageText(knowledge.contactAge)},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
}

void ChangeLog::warnIfPossiblyLate(const ControlPlane &plane, milliseconds sinceProof) const
{
    if (sinceProof <= reportedDelay)
        return;
    const auto knowledge = plane.storeKnowledge();
    const auto &arrival = plane.changes().arrival();
    core::events::logEvent(EventCode::IntentMayBeLate, "intent may be late",
                           {{"error", "it was stored at most " + std::to_string(sinceProof.count())
                                              + " ms before"},
                            {"sinceProofMs", std::to_string(sinceProof.count())},
                            {"lateMs", millisecondsOf(arrival.delay())},
                            {"revision", std::to_string(plane.snapshot()->revision().number())},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"from", arrival.source.toString()},
                            {"follows", knowledge.isFollowing ? "yes" : "no"},
                            {"coveredBy", knowledge.coveredBy.value()},
                            {"contactMs", ageText(knowledge.contactAge)}});
}

void ChangeLog::update(const ControlPlane &plane, core::timing::MonotonicTime now)
{
    warnOfMissingChange(plane, now);
    warnOfLaterIntent(plane, now);
}

void ChangeLog::warnOfMissingChange(const ControlPlane &plane, core::timing::MonotonicTime now)
{
    const auto &missing = plane.changes().missing();
    if (!missing || missing->revision <= reportedMissing_
        || now - missing->knownSince < reportedDelay)
        return;
    reportedMissing_ = missing->revision;
    const auto knowledge = plane.storeKnowledge();
    core::events::logEvent(EventCode::ChangeMissing, "change missing",
                           {{"error", "another node has held it for "
                                              + millisecondsOf(now - missing->knownSince) + " ms"},
                            {"revision", std::to_string(missing->revision.number())},
                            {"held", std::to_string(knowledge.held.number())},
                            {"reportedBy", missing->reportedBy.value()},
                            {"follows", knowledge.isFollowing ? "yes" : "no"},
                            {"coveredBy", knowledge.coveredBy.value()},
                            {"contactMs", ageText(knowledge.contactAge)},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
}

void ChangeLog::warnOfLaterIntent(const ControlPlane &plane, core::timing::MonotonicTime now)
{
    const auto later = plane.comparison().overdueAt(now);
    if (!later || later->number == reportedNumber_)
        return;
    reportedNumber_ = later->number;
    const auto knowledge = plane.storeKnowledge();
    core::events::logEvent(EventCode::IntentOutdated, "intent in force is older than a peer's",
                           {{"error", "a later one has been known for "
                                              + millisecondsOf(now - later->knownSince) + " ms"},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)},
                            {"reportedNumber", std::to_string(later->number.number())},
                            {"reportedBy", later->reportedBy.value()},
                            {"held", std::to_string(knowledge.held.number())},
                            {"reported", std::to_string(knowledge.reported.number())},
                            {"follows", knowledge.isFollowing ? "yes" : "no"},
                            {"coveredBy", knowledge.coveredBy.value()},
                            {"contactMs", ageText(knowledge.contactAge)}});
}

} // namespace boragetrack::daemon::service
