/** Log lines that tell why a node relies on the intent that it serves. */
#pragma once

#include "control/distribution/StoreKnowledge.h"

#include <string>

namespace boragetrack::daemon::service {

/** Returns an age in milliseconds as a log field, "none" without one. */
std::string ageText(const std::optional<std::chrono::milliseconds> &age);

/** Logs what this node knows of the store (E215). */
void logStoreKnowledge(const control::distribution::StoreKnowledge &knowledge);

} // namespace boragetrack::daemon::service
