/** Accounts as JSON. */
#pragma once

#include "emulator/results/LoadResults.h"

#include <nlohmann/json_fwd.hpp>

namespace boragetrack::emulator::results {

/** Returns an results with its shares; seconds are in their order. */
nlohmann::json toJson(const LoadResults &results);

} // namespace boragetrack::emulator::results
