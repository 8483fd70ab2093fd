/** Load plans from JSON. */
#pragma once

#include "core/findings/FindingList.h"
#include "emulator/plan/LoadPlan.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace boragetrack::emulator::plan {

/** Reads a plan. @returns nothing when it has findings, which name their places */
std::optional<LoadPlan> readLoadPlan(const nlohmann::json &object,
                                     core::findings::FindingList &findings);

} // namespace boragetrack::emulator::plan
