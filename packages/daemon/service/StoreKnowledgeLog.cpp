/** Writes one line for each summary; the caller bounds how often. */
#include "daemon/service/StoreKnowledgeLog.h"

#include "core/events/AgeText.h"
#include "core/events/EventLog.h"

namespace boragetrack::daemon::service {

using core::events::ageText;

void logStoreKnowledge(const control::distribution::StoreKnowledge &knowledge)
{
    core::events::logEvent(core::events::EventCode::StoreKnowledge, "store knowledge",
                           {{"follows", knowledge.isFollowing ? "yes" : "no"},
                            {"chosen", knowledge.isSelected ? "yes" : "no"},
                            {"held", std::to_string(knowledge.held.number())},
                            {"reported", std::to_string(knowledge.reported.number())},
                            {"contactMs", ageText(knowledge.contactAge)},
                            {"coveredBy", knowledge.coveredBy.value()},
                            {"coverageMs", ageText(knowledge.coverageAge)},
                            {"updatedBy", knowledge.updatedBy.toString()},
                            {"intentNumber", std::to_string(knowledge.intent.number.number())},
                            {"intentMs", ageText(knowledge.intent.age)}});
}

} // namespace boragetrack::daemon::service
