/** Interpreter of the scenario language that docs/SCENARIOS.md describes. */
#pragma once

#include "tests/scenarios/ScenarioFleet.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Executes a scenario line by line and records a transcript, which tests compare with a golden
    file. A runner holds the state of one scenario: use a new one for each. Not thread-safe. */
class ScenarioRunner
{
public:
    ScenarioRunner();

    /** Runs a whole scenario and checks at the end that no node reverted to an older revision.
        Errors in the text are added to failures().
        @param text the lines of a scenario file */
    void run(const std::string &text);

    /** Returns each executed line, followed by what nodes reported while it ran. */
    const std::string &transcript() const { return transcript_; }

    /** Returns the unmet expectations and the lines that could not be parsed, in order. */
    const std::vector<std::string> &failures() const { return failures_; }

private:
    using Arguments = std::vector<std::string>;

    void runLine(const std::string &line);
    void addFleetCommands();
    void addIntentCommands();
    void addTrafficCommands();
    void addExpectations();
    void expect(bool isMet, const std::string &what);
    std::vector<std::string> selectNodes(const std::string &name) const;
    void storeNextRevision(const nlohmann::json &document);

    ScenarioFleet fleet_;
    std::map<std::string, std::function<void(const Arguments &)>> commands_;
    nlohmann::json document_;
    std::uint64_t revision_ = 0;
    // Endings of reports that fail the scenario when they appear after the forbidding line.
    std::vector<std::string> forbiddenReports_;
    std::string line_;
    std::string transcript_;
    std::vector<std::string> failures_;
};

} // namespace boragetrack::tests
