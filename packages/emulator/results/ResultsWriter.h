/** Output of simulation results. */
#pragma once

#include "emulator/results/LoadResults.h"

#include <nlohmann/json_fwd.hpp>

namespace boragetrack::emulator::results {

/** Returns the results as a JSON object, with the seconds in ascending order. */
nlohmann::json toJson(const LoadResults &results);

} // namespace boragetrack::emulator::results
