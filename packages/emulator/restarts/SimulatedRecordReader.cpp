/** The order of a move holds its start as text, in milliseconds. */
#include "emulator/restarts/SimulatedRecordReader.h"

namespace boragetrack::emulator::restarts {

using control::intent::IntentDocument;
using control::intent::MoveIntent;
using control::intent::MoveState;
using control::intent::Route;
using control::intent::ServiceIntent;
using control::records::RecordTable;
using control::records::StoreRecord;
using core::identity::RouteName;
using core::identity::ServiceName;
using core::identity::VersionName;

namespace {

constexpr std::chrono::minutes moveTime{2};

MoveState stateOf(const StoreRecord *record)
{
    if (record == nullptr || record->text == runningState)
        return MoveState::Running;
    return record->text == doneState ? MoveState::Done : MoveState::TakenBack;
}

} // namespace

IntentDocument SimulatedRecordReader::read(const RecordTable &records,
                                           core::findings::FindingList & /*findings*/)
{
    IntentDocument document;
    ServiceIntent service;
    service.name = ServiceName(serviceName);
    service.version = VersionName(oldVersion);
    document.services.push_back(service);
    Route route;
    route.name = RouteName(routeName);
    route.pathPrefix = "/";
    route.service = service.name;
    document.routes.push_back(route);
    if (const StoreRecord *order = records.find(moveKey)) {
        MoveIntent move;
        move.id = moveKey;
        move.service = service.name;
        move.from = VersionName(oldVersion);
        move.to = VersionName(newVersion);
        move.startAt = core::timing::WallTime(std::chrono::milliseconds(std::stoll(order->text)));
        move.doneBy = move.startAt + moveTime;
        move.state = stateOf(records.find(moveStateKey));
        document.moves.push_back(move);
    }
    return document;
}

} // namespace boragetrack::emulator::restarts
