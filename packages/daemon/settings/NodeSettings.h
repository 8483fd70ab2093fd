/** Settings of a node. */
#pragma once

#include "core/identity/DataCentreId.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "core/identity/ServiceName.h"
#include "daemon/settings/NodeInterface.h"
#include "daemon/settings/UsageReportSettings.h"
#include "traffic/access/KeyFreshnessLimits.h"
#include "traffic/retry/RetryLimits.h"
#include "traffic/routing/CrossDataCentreCost.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::daemon::settings {

/** Validated settings of a node. */
struct NodeSettings
{
    core::identity::NodeId node;
    core::identity::DataCentreId dataCentre;
    core::identity::NetworkAddress callers;
    core::identity::NetworkAddress peers;
    /** The address at which peers reach this node; differs from `peers` if this node is behind a
        proxy. */
    core::identity::NetworkAddress advertisedPeerAddress;
    core::identity::NetworkAddress operators;
    /** Token that operators need to read the node's state; if empty, all such requests are
        refused. */
    std::string operatorToken;
    core::identity::NetworkAddress platform;
    /** The protocols of callers, upstreams and the platform's store. */
    NodeInterface interface = NodeInterface::Native;
    /** Listener addresses for the upstream's announcements and the platform's readiness probes;
        only with the platform's interface. */
    core::identity::NetworkAddress announcements;
    core::identity::NetworkAddress readiness;
    /** Further listener address for metrics, besides that of operators. */
    std::optional<core::identity::NetworkAddress> metrics;
    /** The service on this node's VM, and all data centres of the deployment; only with the
        platform's interface. */
    core::identity::ServiceName service;
    std::vector<core::identity::DataCentreId> dataCentres;
    /** Time after the last announcement until the upstream counts as lost. */
    std::chrono::milliseconds announcementTimeout{3000};
    /** Time from the request to stop until the platform ends the process by force, if the platform
        does not tell; only with the platform's interface. */
    std::chrono::milliseconds stopGracePeriod{6000};
    /** Nothing if no usage reports are asked for; only with the platform's interface. */
    std::optional<UsageReportSettings> usageReports;
    /** The memory of the VM in bytes, which bounds what calls take; if empty, what the process may
        use bounds it. */
    std::optional<std::size_t> memoryBytes;
    /** Peers to contact first. May include this node, which is then skipped. */
    std::vector<core::identity::NetworkAddress> seeds;
    /** Limits on retries of calls. */
    traffic::retry::RetryLimits retryLimits;
    traffic::routing::CrossDataCentreCost crossDataCentreCost;
    /** How long keys of callers may be used without contact with the store; can be strict only with
        the platform's interface. */
    traffic::access::KeyFreshnessLimits keyFreshness;
    /** Whether urgent requests displace less urgent ones that wait for an upstream, and nested
       calls have the rank of the request that makes them. */
    bool isUrgencyFirst = false;
    /** Runs the baseline policies of routing, admission, retries and moves, for measurements. */
    bool usesBaselinePolicies = false;
    /** Makes every node watch the platform, as a baseline for measurements. */
    bool watchesAlways = false;

    /** Returns whether other settings have the same identity, interface, usage reports, order of
        waiting requests and addresses of listeners (except that of metrics) and of the platform;
        these are fixed while the process runs. */
    bool hasSameFixedSettings(const NodeSettings &other) const
    {
        return node == other.node && dataCentre == other.dataCentre && service == other.service
               && callers == other.callers && peers == other.peers && operators == other.operators
               && announcements == other.announcements && readiness == other.readiness
               && platform == other.platform
               && interface == other.interface && usageReports == other.usageReports
               && isUrgencyFirst == other.isUrgencyFirst;
    }
};

} // namespace boragetrack::daemon::settings
