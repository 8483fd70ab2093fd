/** The replicated data of one member. */
#pragma once

#include "control/membership/MemberState.h"
#include "control/membership/MemberVersion.h"
#include "control/membership/UpstreamRecord.h"
#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

#include <string>

namespace boragetrack::control::membership {

/** Describes a node and its upstream. */
struct MemberRecord
{
    core::identity::NodeId id;
    core::identity::DataCentreId dataCentre;
    core::identity::NetworkAddress peerAddress;
    core::identity::NetworkAddress operatorAddress;
    MemberVersion version;
    MemberState state = MemberState::Alive;
    UpstreamRecord upstream;

    /** Returns whether this record replaces another record of the same member. */
    bool supersedes(const MemberRecord &other) const
    {
        return version != other.version ? version > other.version : state > other.state;
    }
};

/** Returns an identity of the member's current process, which changes with a restart. */
inline core::identity::NodeId processIdOf(const MemberRecord &record)
{
    return core::identity::NodeId(record.id.value() + "@"
                                  + std::to_string(record.version.generation));
}

} // namespace boragetrack::control::membership
