/** The settings and collaborators of the traffic thread. */
#pragma once

#include "core/concurrency/Published.h"
#include "core/counters/CounterRegistry.h"
#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"
#include "core/identity/ServiceName.h"
#include "traffic/access/KeyFreshness.h"
#include "traffic/admission/AdmissionPolicy.h"
#include "traffic/admission/ObjectiveOrder.h"
#include "traffic/retry/RetryPolicy.h"
#include "traffic/routing/RoutingPolicy.h"
#include "traffic/routing/RoutingSnapshot.h"
#include "transport/dialect/CallDialect.h"
#include "transport/links/LoopComponent.h"
#include "transport/links/PeerEventSink.h"
#include "transport/links/PeerRequestHandler.h"
#include "transport/serving/InboundProxy.h"

#include <memory>
#include <optional>
#include <vector>

namespace boragetrack::transport::links {

/** What the traffic thread and its loop use; all references outlive the thread. */
struct TrafficDependencies
{
    core::identity::NodeId self;
    /** Identity of this process, which differs after a restart of the node. */
    core::identity::NodeId processId;
    core::identity::NetworkAddress peerAddress;
    core::identity::NetworkAddress callerAddress;
    /** The service on this node's VM, for upstreams that expect the name of the calling
        service. */
    core::identity::ServiceName service;
    const dialect::CallDialect &dialect;
    PeerRequestHandler &requestHandler;
    PeerEventSink &eventSink;
    const core::concurrency::Published<traffic::routing::RoutingSnapshot> &routing;
    traffic::access::KeyFreshness keyFreshness;
    /** When the store last confirmed what this node knows. */
    const core::concurrency::Published<traffic::access::StoreContactTime> &storeContact;
    std::unique_ptr<traffic::admission::AdmissionPolicy> admission;
    traffic::routing::RoutingPolicy &routingPolicy;
    traffic::retry::RetryPolicy &retryPolicy;
    /** Further components that use the event loop. */
    std::vector<LoopComponent *> loopComponents;
    serving::InboundProxy::EvidenceSink evidenceSink;
    core::counters::CounterRegistry &counters;
    /** Counts organisations' requests; null if they are not counted. */
    traffic::usage::UsageMeter *usageMeter = nullptr;
    std::unique_ptr<traffic::admission::QueueOrder> queueOrder
            = std::make_unique<traffic::admission::ObjectiveOrder>();
    /** The memory that the process may use, in bytes; empty for no limit on what calls take. */
    std::optional<std::size_t> memoryBytes{};
};

} // namespace boragetrack::transport::links
