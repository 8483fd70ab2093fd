/** Parsing of load plans. */
#pragma once

#include "core/findings/FindingList.h"
#include "emulator/plan/LoadPlan.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace boragetrack::emulator::plan {

/** Converts a JSON document to a load plan.
    @param findings receives each error with its location in the document
    @returns the plan, or nothing if there are findings */
std::optional<LoadPlan> readLoadPlan(const nlohmann::json &object,
                                     core::findings::FindingList &findings);

} // namespace boragetrack::emulator::plan
