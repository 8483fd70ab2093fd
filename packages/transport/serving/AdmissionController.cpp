/** Implements AdmissionController. */
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

AdmissionController::ScopedPermit::ScopedPermit(AdmissionController &desk)
    : desk_(desk)
    , inFlight_(desk.load().inFlight)
{}

AdmissionController::ScopedPermit::~ScopedPermit() noexcept
{
    if (!isEnded_)
        desk_.queue_.releasePermit();
    desk_.pump();
}

void AdmissionController::ScopedPermit::end(const core::identity::RouteName &route,
                                            const CallResponse &answer,
                                            std::chrono::nanoseconds latency)
{
    isEnded_ = true;
    const bool isOverload = answer.outcome != CallOutcome::Completed;
    desk_.queue_.finishRequest(AdmissionSample{latency, isOverload, inFlight_, route},
                               currentTime());
}

/** Holds one place in the queue. */
class AdmissionController::ScopedWait
{
public:
    ScopedWait(AdmissionController &desk, Ticket ticket,
               kj::Own<kj::PromiseFulfiller<OptionalPermit>> fulfiller)
        : desk_(desk)
        , ticket_(ticket)
        , fulfiller_(kj::mv(fulfiller))
    {
        desk_.waits_[ticket_] = this;
    }
    ~ScopedWait()
    {
        if (desk_.waits_.erase(ticket_) > 0)
            desk_.queue_.withdraw(ticket_);
    }
    ScopedWait(const ScopedWait &) = delete;
    ScopedWait &operator=(const ScopedWait &) = delete;

    void decide(OptionalPermit place) { fulfiller_->fulfill(kj::mv(place)); }

private:
    AdmissionController &desk_;
    Ticket ticket_;
    kj::Own<kj::PromiseFulfiller<OptionalPermit>> fulfiller_;
};

AdmissionController::AdmissionController(
        std::unique_ptr<traffic::admission::AdmissionPolicy> policy, kj::Timer &timer)
    : queue_(std::move(policy), {})
    , timer_(timer)
    , tasks_(*this)
{}

AdmissionController::~AdmissionController() noexcept = default;

kj::Promise<AdmissionController::OptionalPermit>
AdmissionController::admit(const CallRequest &request)
{
    const MonotonicTime now = currentTime();
    const Ticket ticket = ++lastTicket_;
    const Arrival arrival{ticket, request.route, request.rank(), now + request.objective,
                          now + request.budget};
    const AdmissionDecision decision = queue_.arrive(arrival, now);
    if (decision == AdmissionDecision::Run)
        return OptionalPermit(kj::heap<ScopedPermit>(*this));
    if (decision == AdmissionDecision::Refuse)
        return OptionalPermit(nullptr);
    auto pair = kj::newPromiseAndFulfiller<OptionalPermit>();
    auto wait = kj::heap<ScopedWait>(*this, ticket, kj::mv(pair.fulfiller));
    answerRefused();
    lookLater();
    return timer_.timeoutAfter(toKj(request.budget), kj::mv(pair.promise))
            .catch_([](kj::Exception && /*exception*/) {
                // The caller's time is over, which the queue would have found at its next look.
                return OptionalPermit(nullptr);
            })
            .attach(kj::mv(wait));
}

traffic::calls::LoadReport AdmissionController::load()
{
    return queue_.load(currentTime());
}

void AdmissionController::pump()
{
    answerRefused();
    for (const Ticket ticket : queue_.takeRunnable(currentTime()))
        decide(ticket, OptionalPermit(kj::heap<ScopedPermit>(*this)));
}

void AdmissionController::answerRefused()
{
    for (const Ticket ticket : queue_.takeRefused(currentTime()))
        decide(ticket, OptionalPermit(nullptr));
}

// While requests wait, time alone changes what may run or has become hopeless.
void AdmissionController::lookLater()
{
    const auto wait = queue_.timeUntilNextCheck(currentTime());
    if (isLookPlanned_ || !wait)
        return;
    isLookPlanned_ = true;
    tasks_.add(timer_.afterDelay(toKj(*wait)).then([this]() {
        isLookPlanned_ = false;
        pump();
        lookLater();
    }));
}

void AdmissionController::decide(Ticket ticket, OptionalPermit place)
{
    const auto found = waits_.find(ticket);
    // A place that nobody waits for any more goes back to the queue when it is destroyed.
    if (found == waits_.end())
        return;
    ScopedWait *wait = found->second;
    waits_.erase(found);
    wait->decide(kj::mv(place));
}

void AdmissionController::taskFailed(kj::Exception &&exception)
{
    core::events::logEvent(core::events::EventCode::InternalFault, "admission failed",
                           {{"error", exception.getDescription().cStr()}});
}

} // namespace boragetrack::transport::serving
