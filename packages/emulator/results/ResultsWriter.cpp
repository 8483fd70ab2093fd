/** Maps results to the field names that `scripts/bench load` evaluates. */
#include "emulator/results/ResultsWriter.h"

#include <nlohmann/json.hpp>

namespace boragetrack::emulator::results {

using nlohmann::json;

namespace {

json countsToJson(const OutcomeCounts &counts)
{
    return {{"asked", counts.requests},  {"inTime", counts.inTime}, {"late", counts.late},
            {"refused", counts.refused}, {"failed", counts.failed}, {"share", counts.valueShare()}};
}

json countsByNameToJson(const std::map<std::string, OutcomeCounts> &countsByName)
{
    json object = json::object();
    for (const auto &[name, counts] : countsByName)
        object[name] = countsToJson(counts);
    return object;
}

} // namespace

json toJson(const LoadResults &results)
{
    json seconds = json::array();
    for (const auto &[second, counts] : results.bySecond()) {
        json entry = countsToJson(counts);
        entry["second"] = second;
        seconds.push_back(entry);
    }
    return {{"day", countsToJson(results.total())},
            {"kinds", countsByNameToJson(results.byKind())},
            {"dataCentres", countsByNameToJson(results.byDataCentre())},
            {"organisations", countsByNameToJson(results.byOrganisation())},
            {"seconds", seconds},
            {"worstSeconds", results.lowestTwoSecondShare()},
            {"worstKind", results.lowestKindShare()},
            {"worstDataCentre", results.lowestDataCentreShare()},
            {"attempts", results.attempts()},
            {"remoteAttempts", results.remoteAttempts()},
            {"repeats", results.retries()},
            {"crossedBytes", results.crossDataCentreBytes()}};
}

} // namespace boragetrack::emulator::results
