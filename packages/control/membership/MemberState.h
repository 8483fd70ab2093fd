/** The state of a member. */
#pragma once

namespace boragetrack::control::membership {

/** Tells what is believed of a member; at equal versions the later state wins. */
enum class MemberState { Alive, Suspect, Dead, Left };

} // namespace boragetrack::control::membership
