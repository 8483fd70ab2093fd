/** The settings of a node. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

#include <string>
#include <vector>

namespace boragetrack::daemon::settings {

/** Holds a node's settings after validation. */
struct NodeSettings
{
    core::identity::NodeId node;
    core::identity::DataCentreId dataCentre;
    core::identity::NetworkAddress callers;
    core::identity::NetworkAddress peers;
    core::identity::NetworkAddress operators;
    std::string operatorToken;
    core::identity::NetworkAddress platform;
    /** Peers to ask first; may name this node, which is then passed over. */
    std::vector<core::identity::NetworkAddress> seeds;
    /** Runs the baseline policies of routing, admission, retries and moves, for measurements. */
    bool usesBaselinePolicies = false;
    /** Lets every node watch the platform, as the baseline that measurements compare with. */
    bool watchesAlways = false;
};

} // namespace boragetrack::daemon::settings
