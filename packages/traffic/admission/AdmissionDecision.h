/** The possible results of admission for an arriving request. */
#pragma once

namespace boragetrack::traffic::admission {

/** Run starts the request now, Wait queues it, and Refuse rejects it before it runs. */
enum class AdmissionDecision { Run, Wait, Refuse };

} // namespace boragetrack::traffic::admission
