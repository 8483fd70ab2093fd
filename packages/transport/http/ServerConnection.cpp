/** Carries out what the PipelineQueue decides. All that happens to the connection (a request was
    read or answered, the client has disconnected, a timeout has passed) wakes proceed(), which
   alone starts and cancels requests: a promise must not be destroyed by its own continuation. */
#include "transport/http/ServerConnection.h"

#include "core/events/EventLog.h"
#include "transport/http/LingeringClose.h"
#include "transport/http/MessageWriter.h"
#include "transport/timing/Deadline.h"

namespace boragetrack::transport::http {

namespace {

constexpr int requestTimeout = 408;

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

} // namespace

ServerConnection::~ServerConnection() noexcept
{
    const bool hasUnhandledInput = !isClosing_ && exchanges_.empty() && !stream_.bytes().empty();
    if (hasUnhandledInput && !stream_.isEnded())
        core::events::logCall(core::events::EventCode::CallCut, "request cut", false,
                              {{"reason", "the node stopped before it handled what it had read"}});
}

kj::Promise<void> ServerConnection::run()
{
    stalling_ = limitStallTime({}).eagerlyEvaluate(nullptr);
    return proceed();
}

kj::Promise<void> ServerConnection::proceed()
{
    auto event = kj::newPromiseAndFulfiller<void>();
    wakeUp_ = kj::mv(event.fulfiller);
    if (isCutOff_ || (isDisconnected_ && !exchanges_.empty())) {
        cancelRequests();
        return kj::READY_NOW;
    }
    finishAnswered();
    if (failure_)
        return kj::cp(*failure_);
    if (isClosing_)
        return close();
    takeInput();
    startRequest();
    if (exchanges_.empty() && fault_)
        return refuse(*fault_);
    if (exchanges_.empty() && (isInputOver_ || (isAwaitingInput_ && isIdleTimeOver_)))
        return close();
    giveTurn();
    continueReading();
    watchForEnd();
    limitIdleTime();
    return event.promise.then([this]() { return proceed(); });
}

void ServerConnection::wake()
{
    if (wakeUp_.get() != nullptr)
        wakeUp_->fulfill();
}

//==============================================================================
// Removes the requests that were answered, and those that will not be.
void ServerConnection::finishAnswered()
{
    while (!exchanges_.empty() && exchanges_.front().isFinished && !failure_ && !isClosing_) {
        PipelinedExchange &first = exchanges_.front();
        if (first.failure) {
            failure_.emplace(kj::mv(*first.failure));
            return;
        }
        isClosing_ = !first.exchange->isResponseComplete() || !first.exchange->keepsConnection();
        if (isClosing_)
            queue_.closeAfter(first.exchange->number());
        exchanges_.pop_front();
        queue_.finishFirst();
        isWriting_ = false;
    }
    while (queue_.removeCancelled()) {
        if (counters_ != nullptr && exchanges_.back().isStarted)
            counters_->cancelled.add();
        exchanges_.pop_back();
    }
}

void ServerConnection::takeInput()
{
    if (!input_)
        return;
    Reader::HeadResult input = std::move(*input_);
    input_.reset();
    isReading_ = false;
    if (auto *head = std::get_if<RequestHead>(&input))
        add(std::move(*head));
    else if (const auto *fault = std::get_if<MessageFault>(&input))
        fault_ = *fault;
    else
        isInputOver_ = true;
    partialRequest_ = nullptr;
}

void ServerConnection::add(RequestHead head)
{
    const Number number = queue_.add(handler_.isConcurrent(head), reader_.messageBytes());
    exchanges_.emplace_back();
    ResponseOrder &order = *this;
    exchanges_.back().exchange = kj::heap<ServerExchange>(std::move(head), reader_, stream_, order,
                                                          number, inputReadAt_);
}

void ServerConnection::startRequest()
{
    if (!queue_.startNext())
        return;
    isWatchOutdated_ = true;
    if (counters_ != nullptr && exchanges_.size() > 1)
        counters_->requests.add();
    PipelinedExchange &started = exchanges_.back();
    started.isStarted = true;
    started.exchange->limitBodyTime(timer_, handler_.limits().idleTimeout);
    const auto handle = [this, &started]() { return handler_.handle(*started.exchange); };
    started.running = kj::evalNow(handle)
                              .catch_([this, &started](kj::Exception &&exception) {
                                  started.failure.emplace(kj::mv(exception));
                                  queue_.closeAfter(started.exchange->number());
                              })
                              .then([this, &started]() {
                                  started.isFinished = true;
                                  wake();
                              })
                              .eagerlyEvaluate(nullptr);
}

void ServerConnection::giveTurn()
{
    if (exchanges_.empty() || exchanges_.front().turn.get() == nullptr)
        return;
    exchanges_.front().turn->fulfill();
    exchanges_.front().turn = nullptr;
}

void ServerConnection::cancelRequests()
{
    isClosing_ = true;
    reading_ = nullptr;
    partialRequest_ = nullptr;
    while (!exchanges_.empty())
        exchanges_.pop_back();
}

//==============================================================================
void ServerConnection::handleRequestRead(Number number, bool mayContinue)
{
    isWatchOutdated_ = true;
    if (mayContinue)
        queue_.handleRequestRead();
    else
        queue_.closeAfter(number);
    wake();
}

kj::Promise<void> ServerConnection::whenFirst(Number number, std::size_t bytes)
{
    if (!queue_.holdResponse(number, bytes)) {
        wake();
        return kj::NEVER_DONE;
    }
    for (PipelinedExchange &waiting : exchanges_) {
        if (waiting.exchange->number() != number)
            continue;
        auto turn = kj::newPromiseAndFulfiller<void>();
        waiting.turn = kj::mv(turn.fulfiller);
        return kj::mv(turn.promise);
    }
    return kj::NEVER_DONE;
}

void ServerConnection::beginFirstResponse()
{
    queue_.beginFirstResponse();
    isWriting_ = true;
    lastProgress_ = std::chrono::steady_clock::now();
}

std::unique_ptr<HeldResponse> ServerConnection::hold(std::size_t bytes)
{
    SlowReader &reader = *this;
    return std::make_unique<HeldResponse>(memory_, reader, bytes);
}

// While no response is written, what is held waits for an upstream.
core::timing::MonotonicTime ServerConnection::lastProgress() const
{
    return isWriting_ ? lastProgress_ : std::chrono::steady_clock::now();
}

//==============================================================================
void ServerConnection::continueReading()
{
    if (isReading_ || fault_ || isInputOver_ || !queue_.mayRead())
        return;
    isReading_ = true;
    // Cancelling this wait loses no input: bytes that arrive stay in the stream's buffer.
    isAwaitingInput_ = stream_.bytes().empty();
    kj::Promise<void> arrival = isAwaitingInput_ ? stream_.readMore() : kj::READY_NOW;
    reading_ = arrival.then([this]() { return readHead(); })
                       .then([this](Reader::HeadResult &&result) {
                           input_ = std::move(result);
                           inputReadAt_ = std::chrono::steady_clock::now();
                           wake();
                       })
                       .eagerlyEvaluate([this](kj::Exception &&exception) {
                           failure_.emplace(kj::mv(exception));
                           wake();
                       });
}

kj::Promise<ServerConnection::Reader::HeadResult> ServerConnection::readHead()
{
    isAwaitingInput_ = false;
    if (stream_.isEnded() && stream_.bytes().empty())
        return Reader::HeadResult(StreamEnd{stream_.isReset()});
    const ServerLimits limits = handler_.limits();
    reader_.setLimits(limits.message);
    partialRequest_ = kj::heap<core::counters::ScopedCount>(partialRequests_);
    const MessageFault overdue{requestTimeout, "timeout while reading the head of the request"};
    return reader_.readHead().exclusiveJoin(
            timing::whenPassed(timer_, timer_.now() + toKj(limits.headerTimeout)).then([overdue]() {
                return Reader::HeadResult(overdue);
            }));
}

// Waiting for the end stops while much input is buffered, so it begins anew once some of it was
// consumed.
void ServerConnection::watchForEnd()
{
    if (exchanges_.empty() || !isWatchOutdated_)
        return;
    isWatchOutdated_ = false;
    watching_ = stream_.whenEnded()
                        .then([this]() {
                            isDisconnected_ = true;
                            wake();
                        })
                        .eagerlyEvaluate(nullptr);
}

void ServerConnection::limitIdleTime()
{
    const bool wasIdle = isIdle_;
    isIdle_ = exchanges_.empty() && isAwaitingInput_;
    if (isIdle_ == wasIdle)
        return;
    isIdleTimeOver_ = false;
    idling_ = nullptr;
    if (!isIdle_)
        return;
    idling_ = timing::whenPassed(timer_, timer_.now() + toKj(handler_.limits().idleTimeout))
                      .then([this]() {
                          isIdleTimeOver_ = true;
                          wake();
                      })
                      .eagerlyEvaluate(nullptr);
}

// Looks once in each idle timeout, so that a response needs no timer of its own. A client that
// takes nothing is closed after one to two idle timeouts. A request's body has limits of its own,
// which end it with a refusal as not run. @see BodyPace
kj::Promise<void> ServerConnection::limitStallTime(std::optional<std::uint64_t> earlier)
{
    return timing::whenPassed(timer_, timer_.now() + toKj(handler_.limits().idleTimeout))
            .then([this, earlier]() -> kj::Promise<void> {
                const std::optional<std::uint64_t> current = awaitedPart();
                if (!current || current != earlier)
                    return limitStallTime(current);
                core::events::logCall(core::events::EventCode::StalledClientClosed,
                                      "stalled client closed", false,
                                      {{"parts", std::to_string(*current)}});
                cutOff();
                return kj::READY_NOW;
            });
}

std::optional<std::uint64_t> ServerConnection::awaitedPart() const
{
    if (isWriting_ && stream_.isWriting())
        return writtenParts_;
    return std::nullopt;
}

//==============================================================================
kj::Promise<void> ServerConnection::refuse(const MessageFault &fault)
{
    auto text = kj::heap<std::string>(serializeHead(handler_.responseTo(fault), 0, false));
    auto written = stream_.write(kj::arrayPtr(text->data(), text->size())).attach(kj::mv(text));
    return written.then([this]() { return close(); });
}

kj::Promise<void> ServerConnection::close()
{
    cancelRequests();
    return LingeringClose(stream_, timer_).run();
}

} // namespace boragetrack::transport::http
