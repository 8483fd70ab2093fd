/** What admission decides about an arriving request. */
#pragma once

namespace boragetrack::traffic::admission {

/** Tells whether a request runs now, waits or is refused as not run. */
enum class AdmissionDecision { Run, Wait, Refuse };

} // namespace boragetrack::traffic::admission
