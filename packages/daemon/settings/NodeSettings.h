/** The settings of a node. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "core/identity/ServiceName.h"
#include "daemon/settings/NodeInterface.h"
#include "traffic/retry/RetryLimits.h"
#include "traffic/routing/CrossDataCentreCost.h"

#include <chrono>
#include <optional>
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
    /** Where peers reach that address, if a proxy stands before it. */
    core::identity::NetworkAddress advertisedPeerAddress;
    core::identity::NetworkAddress operators;
    /** Allows operators to read a node's state; without one nobody may. */
    std::string operatorToken;
    core::identity::NetworkAddress platform;
    /** What callers, upstreams and the platform's store speak. */
    NodeInterface interface = NodeInterface::Native;
    /** Where the upstream announces itself and the platform asks for readiness; only with the
        platform's interface. */
    core::identity::NetworkAddress announcements;
    core::identity::NetworkAddress readiness;
    /** Where counters are served besides the operators' address, if anywhere. */
    std::optional<core::identity::NetworkAddress> metrics;
    /** The service on this node's VM, and all data centres; only with the platform's interface. */
    core::identity::ServiceName service;
    std::vector<core::identity::DataCentreId> dataCentres;
    /** How long the upstream may be silent before it counts as gone. */
    std::chrono::milliseconds announcementTimeout{3000};
    /** Peers to ask first; may name this node, which is then passed over. */
    std::vector<core::identity::NetworkAddress> seeds;
    /** Bounds the retryLimits of calls. */
    traffic::retry::RetryLimits retryLimits;
    traffic::routing::CrossDataCentreCost crossDataCentreCost;
    /** Runs the baseline policies of routing, admission, retries and moves, for measurements. */
    bool usesBaselinePolicies = false;
    /** Lets every node watch the platform, as the baseline that measurements compare with. */
    bool watchesAlways = false;

    /** Returns whether a process with other settings would be the same one: its identity and its
        addresses agree. */
    bool hasSameFixedSettings(const NodeSettings &other) const
    {
        return node == other.node && dataCentre == other.dataCentre && service == other.service
               && callers == other.callers && peers == other.peers && operators == other.operators
               && announcements == other.announcements && readiness == other.readiness
               && platform == other.platform && interface == other.interface;
    }
};

} // namespace boragetrack::daemon::settings
