/** Log lines that tell why a node relies on the intent that it serves. */
#pragma once

#include "control/distribution/StoreKnowledge.h"

namespace boragetrack::daemon::service {

/** Logs what this node knows of the store (E215). */
void logStoreKnowledge(const control::distribution::StoreKnowledge &knowledge);

} // namespace boragetrack::daemon::service
