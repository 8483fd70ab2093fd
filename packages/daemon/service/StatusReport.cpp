/** Converts the control plane's state to JSON; the names of states are part of the operators'
    interface. */
#include "daemon/service/StatusReport.h"

namespace boragetrack::daemon::service {

using control::distribution::ControlPlane;
using control::intent::MoveState;
using control::membership::MemberRecord;
using control::membership::MemberState;
using control::membership::UpstreamState;
using nlohmann::json;

namespace {

const char *nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        break;
    }
    return "left";
}

const char *nameOf(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Serving:
        return "serving";
    case UpstreamState::Draining:
        return "draining";
    case UpstreamState::None:
        break;
    }
    return "none";
}

const char *nameOf(MoveState state)
{
    switch (state) {
    case MoveState::Running:
        return "running";
    case MoveState::Done:
        return "done";
    case MoveState::TakenBack:
        break;
    }
    return "taken back";
}

json describe(const MemberRecord &record)
{
    return json{{"node", record.id.value()},
                {"dataCentre", record.dataCentre.value()},
                {"state", nameOf(record.state)},
                {"operators",
                 {{"host", record.operatorAddress.host}, {"port", record.operatorAddress.port}}},
                {"service", record.upstream.service.value()},
                {"version", record.upstream.version.value()},
                {"upstream", nameOf(record.upstream.state)}};
}

json describe(const control::distribution::StoreKnowledge &knowledge)
{
    json report{{"follows", knowledge.isFollowing},
                {"selected", knowledge.isSelected},
                {"held", knowledge.held.number()},
                {"reported", knowledge.reported.number()},
                {"coveredBy", knowledge.coveredBy.value()},
                {"updatedBy", knowledge.updatedBy.toString()}};
    if (knowledge.contactAge)
        report["contactMs"] = knowledge.contactAge->count();
    if (knowledge.coverageAge)
        report["coverageMs"] = knowledge.coverageAge->count();
    return report;
}

json describe(const control::distribution::IntentWait &wait)
{
    return json{{"reason", control::distribution::describe(wait.reason)},
                {"ms", wait.duration.count()},
                {"held", wait.held.number()},
                {"minimum", wait.minimum.number()},
                {"reportedBy", wait.minimumReportedBy.value()},
                {"fetches", wait.fetches},
                {"lastFetchFrom", wait.lastFetchFrom.toString()}};
}

std::size_t endpointCount(const traffic::routing::RoutingSnapshot &routing)
{
    std::size_t count = 0;
    for (const auto &[service, endpoints] : routing.members->endpoints)
        count += endpoints.size();
    return count;
}

} // namespace

json reportStatus(const ControlPlane &plane, const traffic::routing::RoutingSnapshot &routing)
{
    json report = describe(plane.membership().self());
    report["revision"] = plane.snapshot()->revision().number();
    const auto intent = plane.inForce();
    report["intentNumber"] = intent.number.number();
    if (intent.age)
        report["intentMs"] = intent.age->count();
    report["held"] = plane.replica().revision().number();
    report["serving"] = routing.isServing;
    report["watcher"] = plane.mustWatchIntentKey();
    report["members"] = plane.membership().table().records().size();
    report["endpoints"] = endpointCount(routing);
    report["neighbours"] = plane.membership().neighbours().size();
    report["exchangesWithoutAddress"] = plane.exchangesWithoutAddress();
    report["store"] = describe(plane.storeKnowledge());
    if (const auto wait = plane.intentWait())
        report["intentWait"] = describe(*wait);
    if (plane.replica().refusedRevision() > plane.replica().revision()) {
        report["refused"] = {{"revision", plane.replica().refusedRevision().number()},
                             {"findings", plane.replica().refusal()}};
    }
    return report;
}

json reportMembers(const ControlPlane &plane)
{
    json report = json::array();
    for (const auto &[id, record] : plane.membership().table().records())
        report.push_back(describe(record));
    return report;
}

json reportMoves(const ControlPlane &plane)
{
    json report = json::array();
    for (const auto &move : plane.snapshot()->document().moves) {
        json entry{{"id", move.id},
                   {"service", move.service.value()},
                   {"from", move.from.value()},
                   {"to", move.to.value()},
                   {"state", nameOf(move.state)},
                   {"outcome", move.outcome},
                   {"doneBy", core::timing::formatWallTime(move.doneBy)}};
        for (const auto &route : plane.snapshot()->document().routes) {
            if (route.service != move.service)
                continue;
            const auto share = plane.shareOf(route, route.service);
            const bool isNewPrimary = share.primary == move.to;
            entry["sharePercent"][route.name.value()]
                    = isNewPrimary ? 100.0 : share.secondaryPercent;
        }
        report.push_back(entry);
    }
    return report;
}

} // namespace boragetrack::daemon::service
