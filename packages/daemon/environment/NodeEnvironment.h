/** Interface between a node and its deployment. */
#pragma once

#include "daemon/environment/ShutdownPlan.h"
#include "daemon/service/IntentSource.h"
#include "daemon/usage/UsageService.h"
#include "transport/dialect/CallDialect.h"
#include "transport/links/LoopComponent.h"

#include <vector>

namespace boragetrack::daemon::environment {

/** Provides the components of a node that depend on the interface of its deployment. */
class NodeEnvironment
{
public:
    virtual ~NodeEnvironment() = default;

    /** Returns the dialect of HTTP headers that callers and upstreams use. */
    virtual const transport::dialect::CallDialect &dialect() const = 0;

    /** Returns the source of the intent. */
    virtual service::IntentSource &source() = 0;

    /** Returns the components that run on the traffic thread; they belong to the environment. */
    virtual std::vector<transport::links::LoopComponent *> loopComponents() = 0;

    /** Returns the usage reports of the node; null without them. */
    virtual usage::UsageService *usage() { return nullptr; }

    /** Starts the environment's threads; called after the control and traffic threads started. */
    virtual void start() = 0;

    /** Handles the start of a graceful shutdown. */
    virtual void requestStop() = 0;

    /** Returns the periods of a graceful shutdown. */
    virtual ShutdownPlan shutdownPlan() const = 0;

    /** Stops the environment's threads. @returns false if one cannot be stopped */
    virtual bool stop() = 0;
};

} // namespace boragetrack::daemon::environment
