/** Processes the queue whenever a permit is returned and, while requests wait, also at the time
    that the queue asks for. */
#include "transport/serving/AdmissionController.h"

#include "core/events/EventLog.h"

namespace boragetrack::transport::serving {

using core::timing::MonotonicTime;
using traffic::admission::AdmissionDecision;
using traffic::admission::AdmissionSample;
using traffic::admission::Arrival;
using traffic::calls::CallOutcome;
using traffic::calls::CallRequest;
using traffic::calls::CallResponse;

namespace {

MonotonicTime currentTime()
{
    return std::chrono::steady_clock::now();
}

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

} // namespace

AdmissionController::ScopedPermit::ScopedPermit(AdmissionController &controller,
                                                core::identity::OrganisationName organisation)
    : controller_(controller)
    , organisation_(std::move(organisation))
    , inFlight_(controller.load().inFlight)
{}

AdmissionController::ScopedPermit::~ScopedPermit() noexcept
{
    if (!hasOutcome_)
        controller_.queue_.releasePermit(organisation_);
    controller_.processQueue();
}

void AdmissionController::ScopedPermit::recordOutcome(const core::identity::RouteName &route,
                                                      const CallResponse &response,
                                                      std::chrono::nanoseconds latency)
{
    hasOutcome_ = true;
    const bool isOverload = response.outcome != CallOutcome::Completed;
    controller_.queue_.finishRequest(
            AdmissionSample{latency, isOverload, inFlight_, route, organisation_}, currentTime());
}

/** A request that waits for a permit; withdrawn from the queue when it is destroyed before it was
    resolved. */
class AdmissionController::QueuedRequest
{
public:
    QueuedRequest(AdmissionController &controller, Ticket ticket,
                  core::identity::OrganisationName organisation,
                  kj::Own<kj::PromiseFulfiller<OptionalPermit>> fulfiller)
        : controller_(controller)
        , ticket_(ticket)
        , organisation_(std::move(organisation))
        , fulfiller_(kj::mv(fulfiller))
    {
        controller_.queuedRequests_[ticket_] = this;
    }
    ~QueuedRequest()
    {
        if (controller_.queuedRequests_.erase(ticket_) > 0)
            controller_.queue_.withdraw(ticket_);
    }
    QueuedRequest(const QueuedRequest &) = delete;
    QueuedRequest &operator=(const QueuedRequest &) = delete;

    const core::identity::OrganisationName &organisation() const { return organisation_; }

    void resolve(OptionalPermit permit) { fulfiller_->fulfill(kj::mv(permit)); }

private:
    AdmissionController &controller_;
    Ticket ticket_;
    core::identity::OrganisationName organisation_;
    kj::Own<kj::PromiseFulfiller<OptionalPermit>> fulfiller_;
};

AdmissionController::AdmissionController(
        std::unique_ptr<traffic::admission::AdmissionPolicy> policy, timing::PreciseTimer &timer,
        std::unique_ptr<traffic::admission::QueueOrder> order)
    : queue_(std::move(policy), {}, std::move(order))
    , timer_(timer)
    , tasks_(*this)
{}

AdmissionController::~AdmissionController() noexcept = default;

kj::Promise<AdmissionController::OptionalPermit>
AdmissionController::admit(const CallRequest &request)
{
    const MonotonicTime now = currentTime();
    const Ticket ticket = ++lastTicket_;
    const Arrival arrival{ticket,
                          request.route,
                          request.rank(),
                          now + request.objective,
                          now + request.budget - request.possibleDelay,
                          request.organisation,
                          1 + request.priority};
    const AdmissionDecision decision = queue_.arrive(arrival, now);
    if (decision == AdmissionDecision::Run)
        return OptionalPermit(kj::heap<ScopedPermit>(*this, request.organisation));
    if (decision == AdmissionDecision::Refuse)
        return OptionalPermit(nullptr);
    auto pair = kj::newPromiseAndFulfiller<OptionalPermit>();
    auto queued
            = kj::heap<QueuedRequest>(*this, ticket, request.organisation, kj::mv(pair.fulfiller));
    resolveRefused();
    scheduleRecheck();
    return timer_.timeoutAfter(toKj(request.budget), kj::mv(pair.promise))
            .catch_([](kj::Exception && /*exception*/) {
                // The deadline has passed, which the queue would have found at its next recheck.
                return OptionalPermit(nullptr);
            })
            .attach(kj::mv(queued));
}

traffic::calls::LoadReport AdmissionController::load()
{
    return queue_.load(currentTime());
}

void AdmissionController::processQueue()
{
    resolveRefused();
    for (const Ticket ticket : queue_.takeRunnable(currentTime()))
        admitQueued(ticket);
}

void AdmissionController::resolveRefused()
{
    for (const Ticket ticket : queue_.takeRefused(currentTime()))
        resolve(ticket, OptionalPermit(nullptr));
}

// While requests wait, the passing of time alone can make one runnable or too late to be served.
void AdmissionController::scheduleRecheck()
{
    const auto delay = queue_.timeUntilNextCheck(currentTime());
    if (isRecheckScheduled_ || !delay)
        return;
    isRecheckScheduled_ = true;
    tasks_.add(timer_.afterDelay(toKj(*delay)).then([this]() {
        isRecheckScheduled_ = false;
        processQueue();
        scheduleRecheck();
    }));
}

void AdmissionController::admitQueued(Ticket ticket)
{
    const auto found = queuedRequests_.find(ticket);
    const auto organisation = found == queuedRequests_.end() ? core::identity::OrganisationName()
                                                             : found->second->organisation();
    resolve(ticket, OptionalPermit(kj::heap<ScopedPermit>(*this, organisation)));
}

void AdmissionController::resolve(Ticket ticket, OptionalPermit permit)
{
    const auto found = queuedRequests_.find(ticket);
    // A permit that no request waits for any more returns to the queue when it is destroyed.
    if (found == queuedRequests_.end())
        return;
    QueuedRequest *queued = found->second;
    queuedRequests_.erase(found);
    queued->resolve(kj::mv(permit));
}

void AdmissionController::taskFailed(kj::Exception &&exception)
{
    core::events::logEvent(core::events::EventCode::InternalFault, "admission failed",
                           {{"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::serving
