/** The states of a member. */
#pragma once

namespace boragetrack::control::membership {

/** Lists the states of a member; at equal versions the later one in this list wins. */
enum class MemberState { Alive, Suspect, Dead, Left };

} // namespace boragetrack::control::membership
