/** Scenario commands: each is a handler in a table, looked up by the first word of a line. Lines
    that fail to parse are reported as unmet expectations, so that a typo cannot pass. */
#include "tests/scenarios/ScenarioRunner.h"

#include "tests/unit/TestIntent.h"

#include <sstream>

namespace boragetrack::tests {

using control::membership::MemberState;
using control::membership::UpstreamState;

namespace {

std::vector<std::string> split(const std::string &line)
{
    std::istringstream stream(line);
    std::vector<std::string> words;
    std::string word;
    while (stream >> word)
        words.push_back(word);
    return words;
}

std::chrono::milliseconds duration(const std::string &milliseconds)
{
    return std::chrono::milliseconds(std::stol(milliseconds));
}

MemberState memberState(const std::string &name)
{
    if (name == "suspect")
        return MemberState::Suspect;
    if (name == "dead")
        return MemberState::Dead;
    return name == "left" ? MemberState::Left : MemberState::Alive;
}

} // namespace

ScenarioRunner::ScenarioRunner()
    : document_(intentJson())
{
    addFleetCommands();
    addIntentCommands();
    addTrafficCommands();
    addExpectations();
}

void ScenarioRunner::run(const std::string &text)
{
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line))
        runLine(line);
    expect(fleet_.revertCount() == 0, "no node reverts to an older revision");
}

void ScenarioRunner::runLine(const std::string &line)
{
    line_ = line;
    transcript_ += line + "\n";
    const Arguments arguments = split(line);
    if (arguments.empty() || arguments[0][0] == '#')
        return;
    const auto command = commands_.find(arguments[0]);
    if (command == commands_.end())
        return expect(false, "unknown command");
    try {
        command->second(Arguments(arguments.begin() + 1, arguments.end()));
    } catch (const std::exception &error) {
        expect(false, error.what());
    }
    for (const std::string &reported : fleet_.takeReports()) {
        transcript_ += reported + "\n";
        for (const std::string &forbidden : forbiddenReports_)
            expect(!reported.ends_with(forbidden), "forbidden report: " + forbidden);
    }
}

void ScenarioRunner::addFleetCommands()
{
    commands_["node"] = [this](const Arguments &arguments) {
        fleet_.addNode(arguments.at(0), arguments.at(1));
    };
    commands_["start"] = [this](const Arguments &arguments) {
        for (const std::string &name : selectNodes(arguments.at(0)))
            fleet_.start(name);
    };
    commands_["kill"] = [this](const Arguments &arguments) { fleet_.kill(arguments.at(0)); };
    commands_["leave"] = [this](const Arguments &arguments) { fleet_.leave(arguments.at(0)); };
    commands_["freeze"]
            = [this](const Arguments &arguments) { fleet_.setFrozen(arguments.at(0), true); };
    commands_["thaw"]
            = [this](const Arguments &arguments) { fleet_.setFrozen(arguments.at(0), false); };
    commands_["cut"] = [this](const Arguments &arguments) {
        fleet_.setCut(arguments.at(0), arguments.at(1), true);
    };
    commands_["heal"] = [this](const Arguments &arguments) {
        fleet_.setCut(arguments.at(0), arguments.at(1), false);
    };
    commands_["advance"]
            = [this](const Arguments &arguments) { fleet_.advance(duration(arguments.at(0))); };
    commands_["store"] = [this](const Arguments &arguments) {
        fleet_.setStoreUnavailable(arguments.at(0) == "out");
    };
}

void ScenarioRunner::addIntentCommands()
{
    commands_["default"] = [this](const Arguments &arguments) {
        document_["defaults"][arguments.at(0)] = std::stoi(arguments.at(1));
        storeNextRevision(document_);
    };
    commands_["exception"] = [this](const Arguments &arguments) {
        nlohmann::json exception = exceptionJson(arguments.at(0), {{"service", "payments"}},
                                                 std::stoi(arguments.at(1)));
        exception["expiresAt"] = core::timing::formatWallTime(
                fleet_.wallTime() + std::chrono::seconds(std::stol(arguments.at(2))));
        document_["exceptions"].push_back(exception);
        storeNextRevision(document_);
    };
    commands_["bad-intent"] = [this](const Arguments & /*arguments*/) {
        nlohmann::json bad = document_;
        bad["routes"][0]["service"] = "nowhere";
        storeNextRevision(bad);
    };
    commands_["restore"] = [this](const Arguments &arguments) {
        const std::uint64_t revision = std::stoull(arguments.at(0));
        fleet_.storeIntent(revision, envelopeText(revision, document_));
    };
    commands_["datacentre"] = [this](const Arguments &arguments) {
        for (nlohmann::json &dataCentre : document_["dataCentres"]) {
            if (dataCentre["name"] == arguments.at(0))
                dataCentre["out"] = arguments.at(1) == "out";
        }
        storeNextRevision(document_);
    };
    commands_["move"] = [this](const Arguments &arguments) {
        nlohmann::json move = moveJson(arguments.at(0), arguments.at(1));
        const auto start = fleet_.wallTime();
        move["from"] = arguments.at(2);
        move["to"] = arguments.at(3);
        move["startAt"] = core::timing::formatWallTime(start);
        move["doneBy"] = core::timing::formatWallTime(
                start + std::chrono::seconds(std::stol(arguments.at(4))));
        document_["moves"].push_back(move);
        storeNextRevision(document_);
    };
}

void ScenarioRunner::addTrafficCommands()
{
    const auto announce = [this](const Arguments &arguments, UpstreamState state) {
        fleet_.announce(arguments.at(0), arguments.at(1), arguments.at(2), state);
    };
    commands_["upstream"]
            = [=](const Arguments &arguments) { announce(arguments, UpstreamState::Serving); };
    commands_["drain"]
            = [=](const Arguments &arguments) { announce(arguments, UpstreamState::Draining); };
    // calls NODE SERVICE VERSION ROUTE COUNT FAILED LATENCY_MS
    commands_["calls"] = [this](const Arguments &arguments) {
        control::moves::CallEvidence call;
        call.service = core::identity::ServiceName(arguments.at(1));
        call.version = core::identity::VersionName(arguments.at(2));
        call.route = core::identity::RouteName(arguments.at(3));
        call.latency = duration(arguments.at(6));
        const int failed = std::stoi(arguments.at(5));
        fleet_.recordCalls(arguments.at(0), call, std::stoi(arguments.at(4)) - failed);
        call.isFailed = true;
        fleet_.recordCalls(arguments.at(0), call, failed);
    };
}

void ScenarioRunner::addExpectations()
{
    commands_["expect-revision"] = [this](const Arguments &arguments) {
        for (const std::string &name : selectNodes(arguments.at(0))) {
            const auto *plane = fleet_.controlPlane(name);
            const auto served = plane == nullptr ? 0 : plane->snapshot()->revision().number();
            expect(served == std::stoull(arguments.at(1)),
                   name + " serves revision " + std::to_string(served));
        }
    };
    commands_["expect-timeout"] = [this](const Arguments &arguments) {
        for (const std::string &name : selectNodes(arguments.at(0))) {
            const auto &settings = fleet_.controlPlane(name)->snapshot()->routes().at(0).settings;
            expect(settings.callTimeout == duration(arguments.at(1)),
                   name + " has " + std::to_string(settings.callTimeout.count()) + " ms");
        }
    };
    commands_["expect-state"] = [this](const Arguments &arguments) {
        for (const std::string &name : selectNodes(arguments.at(0))) {
            const auto *plane = fleet_.controlPlane(name);
            if (plane == nullptr || name == arguments.at(1))
                continue;
            const auto *record
                    = plane->membership().table().find(core::identity::NodeId(arguments.at(1)));
            expect(record != nullptr && record->state == memberState(arguments.at(2)),
                   name + " takes " + arguments.at(1) + " for " + arguments.at(2));
        }
    };
    commands_["forbid-belief"] = [this](const Arguments &arguments) {
        forbiddenReports_.push_back(arguments.at(0) + " takes " + arguments.at(1) + " for "
                                    + arguments.at(2));
    };
    commands_["expect-share"] = [this](const Arguments &arguments) {
        for (const std::string &name : selectNodes(arguments.at(0))) {
            const auto &routes = fleet_.controlPlane(name)->snapshot()->document().routes;
            const auto share
                    = fleet_.controlPlane(name)->shareOf(routes.at(0), routes.at(0).service);
            const bool isPrimary = share.primary.value() == arguments.at(1);
            const double percent = isPrimary ? 100.0 - share.secondaryPercent
                                   : share.secondary.value() == arguments.at(1)
                                           ? share.secondaryPercent
                                           : 0.0;
            expect(percent >= std::stod(arguments.at(2)) && percent <= std::stod(arguments.at(3)),
                   name + " gives " + arguments.at(1) + " " + std::to_string(percent) + " percent");
        }
    };
    commands_["expect-move"] = [this](const Arguments &arguments) {
        for (const auto &move : fleet_.storedDocument()["moves"]) {
            if (move["id"] == arguments.at(0))
                expect(move["state"] == arguments.at(1), "state is " + move["state"].dump());
        }
    };
}

void ScenarioRunner::expect(bool isMet, const std::string &what)
{
    if (isMet)
        return;
    failures_.push_back("'" + line_ + "': " + what);
    transcript_ += "  NOT MET: " + what + "\n";
}

std::vector<std::string> ScenarioRunner::selectNodes(const std::string &name) const
{
    return name == "all" ? fleet_.nodeNames() : std::vector<std::string>{name};
}

void ScenarioRunner::storeNextRevision(const nlohmann::json &document)
{
    ++revision_;
    fleet_.storeIntent(revision_, envelopeText(revision_, document));
}

} // namespace boragetrack::tests
