/** Implements NodeModel. */
#include "emulator/model/NodeModel.h"

namespace boragetrack::emulator::model {

using traffic::calls::CallRequest;
using traffic::calls::CallResponse;
using traffic::retry::CallPlan;
using traffic::retry::PlanStep;
using traffic::retry::SendAttempt;

/** One call from its request to its answer. */
class NodeModel::Call : public std::enable_shared_from_this<Call>
{
public:
    Call(NodeModel &node, const CallRequest &request, AnswerSink done)
        : node_(node)
        , snapshot_(node.parts_.directory.snapshotFor(node.dataCentre_))
        , plan_({*node.routing_, *node.retries_, node.loads_}, snapshot_,
                *snapshot_->targetNamed(request.route), request, node.parts_.random)
        , done_(std::move(done))
    {}

    void start() { perform(plan_.start(node_.parts_.clock.now())); }

private:
    void perform(const PlanStep &step)
    {
        clock::EventClock &clock = node_.parts_.clock;
        const auto *attempt = std::get_if<SendAttempt>(&step);
        if (attempt == nullptr) {
            clock.after(std::chrono::nanoseconds::zero(),
                        [self = shared_from_this(), answer = std::get<CallResponse>(step)]() {
                            self->done_(answer);
                        });
            return;
        }
        NodeModel &other = node_.parts_.directory.node(attempt->endpoint.node);
        node_.parts_.account.noteAttempt(other.dataCentre_ != node_.dataCentre_,
                                         attempt->request.attempt > 1);
        const auto trip = node_.tripTo(other);
        clock.after(trip, [self = shared_from_this(), &other, trip, request = attempt->request]() {
            other.gate_.serve(request, [self, &other, trip](const CallResponse &answer) {
                if (other.dataCentre_ != self->node_.dataCentre_)
                    self->node_.parts_.account.noteCrossing(answer.body.size());
                self->node_.parts_.clock.after(trip, [self, answer]() {
                    self->perform(
                            self->plan_.handleResponse(answer, self->node_.parts_.clock.now()));
                });
            });
        });
    }

    NodeModel &node_;
    std::shared_ptr<const traffic::routing::RoutingSnapshot> snapshot_;
    CallPlan plan_;
    AnswerSink done_;
};

NodeModel::NodeModel(const Parts &parts, std::string dataCentre, double speed)
    : parts_(parts)
    , dataCentre_(std::move(dataCentre))
    , upstream_({parts.clock, parts.plan, parts.service, parts.random, *this}, speed)
    , gate_(parts.clock, parts.service, parts.policies, upstream_)
    , routing_(parts.policies.makeRouting())
    , retries_(parts.policies.makeRetry())
{}

void NodeModel::call(const CallRequest &request, AnswerSink done)
{
    std::make_shared<Call>(*this, request, std::move(done))->start();
}

std::chrono::nanoseconds NodeModel::tripTo(const NodeModel &other) const
{
    if (&other == this)
        return std::chrono::nanoseconds::zero();
    return other.dataCentre_ == dataCentre_ ? parts_.plan.localTrip : parts_.plan.remoteTrip;
}

} // namespace boragetrack::emulator::model
