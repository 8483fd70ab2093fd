/** What a node speaks to the outside. */
#pragma once

#include "daemon/environment/ShutdownPlan.h"
#include "daemon/service/IntentSource.h"
#include "transport/dialect/CallDialect.h"
#include "transport/links/LoopComponent.h"

#include <vector>

namespace boragetrack::daemon::environment {

/** Joins the parts of a node that depend on the interface of its deployment. */
class NodeEnvironment
{
public:
    virtual ~NodeEnvironment() = default;

    /** Returns the headers of callers and upstreams. */
    virtual const transport::dialect::CallDialect &dialect() const = 0;

    /** Returns where the intent comes from. */
    virtual service::IntentSource &source() = 0;

    /** Returns the parts that work on the traffic thread. */
    virtual std::vector<transport::links::LoopComponent *> loopComponents() = 0;

    /** Starts threads of the environment's own, once control and traffic run. */
    virtual void start() = 0;

    /** Notes that a planned stop began. */
    virtual void requestStop() = 0;

    /** Returns how a planned stop goes. */
    virtual ShutdownPlan shutdownPlan() const = 0;

    /** Ends threads of the environment's own. @returns false when one can not be ended */
    virtual bool stop() = 0;
};

} // namespace boragetrack::daemon::environment
