/** Numeric codes of the log events. */
#pragma once

namespace boragetrack::core::events {

/** Identifies a kind of log event. docs/EVENTS.md describes each code; EventCatalogueTest compares
    the two. */
enum class EventCode {
    NodeStarted = 100,
    NodeStopping = 101,
    NodeStopped = 102,
    Counters = 103,
    LinesLeftOut = 104,
    InternalFault = 105,
    LoopLate = 106,
    SettingsRefused = 110,
    SettingsReloaded = 111,
    SettingsNeedRestart = 112,
    IntentApplied = 200,
    IntentRefused = 201,
    IntentMissing = 202,
    StoreUnavailable = 210,
    StoreRecovered = 211,
    StoreListed = 212,
    StoreRoleChanged = 213,
    MemberAlive = 300,
    MemberSuspect = 301,
    MemberDead = 302,
    MemberLeft = 303,
    DataCentreSilent = 304,
    UpstreamAnnounced = 310,
    UpstreamLost = 311,
    UpstreamDraining = 312,
    AnnouncementRefused = 313,
    DepartureRestored = 314,
    DepartureNotRecorded = 315,
    DepartureNotAcknowledged = 316,
    AnnouncementNotProven = 317,
    PeerMessageRefused = 320,
    PeerUnreachable = 321,
    LinkGivenUp = 322,
    FetchFailed = 323,
    ListenerFailed = 330,
    MoveStopped = 400,
    MoveRecorded = 401,
    MoveRecordFailed = 402,
    CallAnswered = 500,
    CallNotRun = 501,
    CallUnknown = 502,
    CallerLeft = 503,
    ExchangeFailed = 504,
    CallCut = 505,
    CallServed = 510,
    CallTurnedAway = 511,
    DataCentreCutOff = 520,
    DataCentreAnswered = 521,
};

} // namespace boragetrack::core::events
