/** Carries out the steps of a CallPlan: sends attempts with network delays and returns responses.
 */
#include "emulator/model/NodeModel.h"

namespace boragetrack::emulator::model {

using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::retry::CallPlan;
using traffic::retry::PlanStep;
using traffic::retry::SendAttempt;

/** One call from a caller or upstream. Keeps itself alive until its response is delivered. */
class NodeModel::Call : public std::enable_shared_from_this<Call>
{
public:
    Call(NodeModel &node, const CallRequest &request, ResponseCallback done)
        : node_(node)
        , snapshot_(node.dependencies_.directory.snapshotFor(node.dataCentre_))
        , plan_({*node.routingPolicy_, *node.retryPolicy_, node.loads_}, snapshot_,
                *snapshot_->targetNamed(request.route), request, node.dependencies_.random)
        , done_(std::move(done))
    {}

    void start() { perform(plan_.start(node_.dependencies_.clock.now())); }

private:
    void perform(const PlanStep &step)
    {
        clock::EventClock &clock = node_.dependencies_.clock;
        const auto *attempt = std::get_if<SendAttempt>(&step);
        if (attempt == nullptr) {
            clock.schedule(std::chrono::nanoseconds::zero(),
                           [self = shared_from_this(), response = std::get<CallResponse>(step)]() {
                               self->done_(response);
                           });
            return;
        }
        NodeModel &other = node_.dependencies_.directory.node(attempt->endpoint.node);
        node_.dependencies_.results.recordAttempt(other.dataCentre_ != node_.dataCentre_,
                                                  attempt->request.attempt > 1);
        const auto delay = node_.delayTo(other);
        clock.schedule(
                delay, [self = shared_from_this(), &other, delay, request = attempt->request]() {
                    other.inboundProxy_.handle(
                            request, [self, &other, delay](const CallResponse &response) {
                                if (other.dataCentre_ != self->node_.dataCentre_)
                                    self->node_.dependencies_.results.recordCrossDataCentreBytes(
                                            response.body.size());
                                self->node_.dependencies_.clock.schedule(delay, [self, response]() {
                                    self->perform(self->plan_.handleResponse(
                                            response, self->node_.dependencies_.clock.now()));
                                });
                            });
                });
    }

    NodeModel &node_;
    std::shared_ptr<const traffic::routing::RoutingSnapshot> snapshot_;
    CallPlan plan_;
    ResponseCallback done_;
};

NodeModel::NodeModel(const Dependencies &dependencies, std::string dataCentre, double speed)
    : dependencies_(dependencies)
    , dataCentre_(std::move(dataCentre))
    , upstream_({dependencies.clock, dependencies.plan, dependencies.service, dependencies.random,
                 *this},
                speed)
    , inboundProxy_(dependencies.clock, dependencies.service, dependencies.policies, upstream_)
    , routingPolicy_(dependencies.policies.makeRouting())
    , retryPolicy_(dependencies.policies.makeRetry())
{}

void NodeModel::call(const CallRequest &request, ResponseCallback done)
{
    std::make_shared<Call>(*this, request, std::move(done))->start();
}

std::chrono::nanoseconds NodeModel::delayTo(const NodeModel &other) const
{
    if (&other == this)
        return std::chrono::nanoseconds::zero();
    return other.dataCentre_ == dataCentre_ ? dependencies_.plan.localDelay
                                            : dependencies_.plan.remoteDelay;
}

} // namespace boragetrack::emulator::model
