/** Implements ScenarioRunner. */
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
    addWorldCommands();
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
    expect(world_.reverts() == 0, "no node goes back to an older revision");
}

void ScenarioRunner::runLine(const std::string &line)
{
    line_ = line;
    transcript_ += line + "\n";
    const Words words = split(line);
    if (words.empty() || words[0][0] == '#')
        return;
    const auto command = commands_.find(words[0]);
    if (command == commands_.end())
        return expect(false, "the command is known");
    try {
        command->second(Words(words.begin() + 1, words.end()));
    } catch (const std::exception &error) {
        expect(false, error.what());
    }
    for (const std::string &reported : world_.takeReport()) {
        transcript_ += reported + "\n";
        for (const std::string &forbidden : forbidden_)
            expect(!reported.ends_with(forbidden), "nobody reports: " + forbidden);
    }
}

void ScenarioRunner::addWorldCommands()
{
    commands_["node"] = [this](const Words &words) { world_.addNode(words.at(0), words.at(1)); };
    commands_["start"] = [this](const Words &words) {
        for (const std::string &name : select(words.at(0)))
            world_.start(name);
    };
    commands_["kill"] = [this](const Words &words) { world_.kill(words.at(0)); };
    commands_["leave"] = [this](const Words &words) { world_.leave(words.at(0)); };
    commands_["freeze"] = [this](const Words &words) { world_.setFrozen(words.at(0), true); };
    commands_["thaw"] = [this](const Words &words) { world_.setFrozen(words.at(0), false); };
    commands_["cut"]
            = [this](const Words &words) { world_.setCut(words.at(0), words.at(1), true); };
    commands_["heal"]
            = [this](const Words &words) { world_.setCut(words.at(0), words.at(1), false); };
    commands_["advance"] = [this](const Words &words) { world_.advance(duration(words.at(0))); };
    commands_["store"] = [this](const Words &words) { world_.setStoreOut(words.at(0) == "out"); };
}

void ScenarioRunner::addIntentCommands()
{
    commands_["default"] = [this](const Words &words) {
        document_["defaults"][words.at(0)] = std::stoi(words.at(1));
        storeNext(document_);
    };
    commands_["exception"] = [this](const Words &words) {
        nlohmann::json exception
                = exceptionJson(words.at(0), {{"service", "payments"}}, std::stoi(words.at(1)));
        exception["expiresAt"] = core::timing::formatWallTime(
                world_.wallTime() + std::chrono::seconds(std::stol(words.at(2))));
        document_["exceptions"].push_back(exception);
        storeNext(document_);
    };
    commands_["bad-intent"] = [this](const Words & /*words*/) {
        nlohmann::json bad = document_;
        bad["routes"][0]["service"] = "nowhere";
        storeNext(bad);
    };
    commands_["restore"] = [this](const Words &words) {
        const std::uint64_t revision = std::stoull(words.at(0));
        world_.storeIntent(revision, envelopeText(revision, document_));
    };
    commands_["datacentre"] = [this](const Words &words) {
        for (nlohmann::json &dataCentre : document_["dataCentres"]) {
            if (dataCentre["name"] == words.at(0))
                dataCentre["out"] = words.at(1) == "out";
        }
        storeNext(document_);
    };
    commands_["move"] = [this](const Words &words) {
        nlohmann::json move = moveJson(words.at(0), words.at(1));
        const auto start = world_.wallTime();
        move["from"] = words.at(2);
        move["to"] = words.at(3);
        move["startAt"] = core::timing::formatWallTime(start);
        move["doneBy"] = core::timing::formatWallTime(
                start + std::chrono::seconds(std::stol(words.at(4))));
        document_["moves"].push_back(move);
        storeNext(document_);
    };
}

void ScenarioRunner::addTrafficCommands()
{
    const auto announce = [this](const Words &words, UpstreamState state) {
        world_.announce(words.at(0), words.at(1), words.at(2), state);
    };
    commands_["upstream"] = [=](const Words &words) { announce(words, UpstreamState::Serving); };
    commands_["drain"] = [=](const Words &words) { announce(words, UpstreamState::Draining); };
    // calls NODE SERVICE VERSION ROUTE COUNT FAILED LATENCY_MS
    commands_["calls"] = [this](const Words &words) {
        control::moves::CallEvidence call;
        call.service = core::identity::ServiceName(words.at(1));
        call.version = core::identity::VersionName(words.at(2));
        call.route = core::identity::RouteName(words.at(3));
        call.latency = duration(words.at(6));
        const int failed = std::stoi(words.at(5));
        world_.noteCalls(words.at(0), call, std::stoi(words.at(4)) - failed);
        call.isFailed = true;
        world_.noteCalls(words.at(0), call, failed);
    };
}

void ScenarioRunner::addExpectations()
{
    commands_["expect-revision"] = [this](const Words &words) {
        for (const std::string &name : select(words.at(0))) {
            const auto *plane = world_.plane(name);
            const auto served = plane == nullptr ? 0 : plane->snapshot()->revision().number();
            expect(served == std::stoull(words.at(1)),
                   name + " serves revision " + std::to_string(served));
        }
    };
    commands_["expect-timeout"] = [this](const Words &words) {
        for (const std::string &name : select(words.at(0))) {
            const auto &settings = world_.plane(name)->snapshot()->routes().at(0).settings;
            expect(settings.callTimeout == duration(words.at(1)),
                   name + " has " + std::to_string(settings.callTimeout.count()) + " ms");
        }
    };
    commands_["expect-state"] = [this](const Words &words) {
        for (const std::string &name : select(words.at(0))) {
            const auto *plane = world_.plane(name);
            if (plane == nullptr || name == words.at(1))
                continue;
            const auto *record
                    = plane->membership().table().find(core::identity::NodeId(words.at(1)));
            expect(record != nullptr && record->state == memberState(words.at(2)),
                   name + " takes " + words.at(1) + " for " + words.at(2));
        }
    };
    commands_["forbid-belief"] = [this](const Words &words) {
        forbidden_.push_back(words.at(0) + " takes " + words.at(1) + " for " + words.at(2));
    };
    commands_["expect-share"] = [this](const Words &words) {
        for (const std::string &name : select(words.at(0))) {
            const auto &routes = world_.plane(name)->snapshot()->document().routes;
            const auto share = world_.plane(name)->shareOf(routes.at(0), routes.at(0).service);
            const bool isPrimary = share.primary.value() == words.at(1);
            const double percent = isPrimary ? 100.0 - share.secondaryPercent
                                   : share.secondary.value() == words.at(1) ? share.secondaryPercent
                                                                            : 0.0;
            expect(percent >= std::stod(words.at(2)) && percent <= std::stod(words.at(3)),
                   name + " gives " + words.at(1) + " " + std::to_string(percent) + " percent");
        }
    };
    commands_["expect-move"] = [this](const Words &words) {
        for (const auto &move : world_.storedDocument()["moves"]) {
            if (move["id"] == words.at(0))
                expect(move["state"] == words.at(1), "state is " + move["state"].dump());
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

std::vector<std::string> ScenarioRunner::select(const std::string &name) const
{
    return name == "all" ? world_.nodes() : std::vector<std::string>{name};
}

void ScenarioRunner::storeNext(const nlohmann::json &document)
{
    ++revision_;
    world_.storeIntent(revision_, envelopeText(revision_, document));
}

} // namespace boragetrack::tests
