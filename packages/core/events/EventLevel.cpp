/** Outcomes of calls that the protocol provides for are ordinary, refusals included: a line for
   each at a higher level would hide the faults. */
#include "core/events/EventLevel.h"

namespace boragetrack::core::events {

EventLevel levelOf(EventCode code)
{
    switch (code) {
    case EventCode::NodeStarted:
    case EventCode::NodeStopping:
    case EventCode::NodeStopped:
    case EventCode::Counters:
    case EventCode::LinesLeftOut:
    case EventCode::SettingsReloaded:
    case EventCode::IntentApplied:
    case EventCode::StoreRecovered:
    case EventCode::StoreListed:
    case EventCode::StoreRoleChanged:
    case EventCode::StoreKnowledge:
    case EventCode::StoreProofRegained:
    case EventCode::MemberAlive:
    case EventCode::MemberLeft:
    case EventCode::UpstreamAnnounced:
    case EventCode::UpstreamDraining:
    case EventCode::DepartureRestored:
    case EventCode::MoveRecorded:
    case EventCode::CallAnswered:
    case EventCode::CallNotRun:
    case EventCode::CallerLeft:
    case EventCode::CallServed:
    case EventCode::CallTurnedAway:
    case EventCode::DataCentreAnswered:
    case EventCode::AccessRefused:
    case EventCode::UsageDutyGained:
    case EventCode::UsageDutyLost:
    case EventCode::UsageReportAccepted:
        return EventLevel::Info;
    case EventCode::LoopLate:
    case EventCode::ControlLate:
    case EventCode::SettingsNeedRestart:
    case EventCode::IntentLate:
    case EventCode::ChangeMissing:
    case EventCode::IntentOutdated:
    case EventCode::IntentMayBeLate:
    case EventCode::StoreUnavailable:
    case EventCode::StoreProofMissing:
    case EventCode::StoreCameBack:
    case EventCode::MemberSuspect:
    case EventCode::MemberDead:
    case EventCode::DataCentreSilent:
    case EventCode::UpstreamLost:
    case EventCode::AnnouncementRefused:
    case EventCode::DepartureNotRecorded:
    case EventCode::DepartureNotAcknowledged:
    case EventCode::AnnouncementNotProven:
    case EventCode::PeerMessageRefused:
    case EventCode::PeerUnreachable:
    case EventCode::LinkGivenUp:
    case EventCode::FetchFailed:
    case EventCode::MoveStopped:
    case EventCode::MoveRecordFailed:
    case EventCode::CallUnknown:
    case EventCode::ExchangeFailed:
    case EventCode::CallCut:
    case EventCode::DataCentreCutOff:
    case EventCode::KeysOutOfDate:
    case EventCode::SlowReaderClosed:
    case EventCode::MemoryBudgetExhausted:
    case EventCode::StalledClientClosed:
    case EventCode::UsageReportFailed:
    case EventCode::UsageWindowIncomplete:
    case EventCode::UsageCountsDropped:
        return EventLevel::Warning;
    case EventCode::InternalFault:
    case EventCode::SettingsRefused:
    case EventCode::IntentRefused:
    case EventCode::IntentMissing:
    case EventCode::ListenerFailed:
        break;
    }
    return EventLevel::Error;
}

std::string_view nameOf(EventLevel level)
{
    switch (level) {
    case EventLevel::Info:
        return "INFO";
    case EventLevel::Warning:
        return "WARN";
    case EventLevel::Error:
        break;
    }
    return "ERROR";
}

} // namespace boragetrack::core::events
