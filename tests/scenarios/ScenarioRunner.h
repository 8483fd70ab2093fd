/** Runs scenarios written in the line language of docs/SCENARIOS.md. */
#pragma once

#include "tests/scenarios/ScenarioFleet.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace boragetrack::tests {

/** Executes a scenario line by line and keeps a transcript of what happened. */
class ScenarioRunner
{
public:
    ScenarioRunner();

    /** Runs a whole scenario. */
    void run(const std::string &text);

    /** Returns each line with what nodes reported while it ran. */
    const std::string &transcript() const { return transcript_; }

    /** Returns the expectations that were not met, and lines that were not understood. */
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
    // Reports that may not appear from the line on that forbade them.
    std::vector<std::string> forbiddenReports_;
    std::string line_;
    std::string transcript_;
    std::vector<std::string> failures_;
};

} // namespace boragetrack::tests
