/** The server side of one HTTP connection. */
#pragma once

#include "core/counters/ScopedCount.h"
#include "transport/http/ExchangeHandler.h"
#include "transport/http/PipelineCounters.h"
#include "transport/http/PipelinedExchange.h"

#include <deque>
#include <kj/timer.h>

namespace boragetrack::transport::http {

/** Reads requests and passes them to the handler, as the PipelineQueue decides. If the client
    disconnects while requests are being handled, the connection drops the handler's promises. */
class ServerConnection : private ResponseOrder, private SlowReader
{
public:
    /** @param handler, @param timer and @param budget outlive the connection
        @param partialRequests counts this connection while the head of a request has arrived in
        part; outlives the connection
        @param counters outlives the connection; null to count nothing
        @param memory outlives the connection; null for no limit on its responses */
    ServerConnection(kj::Own<kj::AsyncIoStream> stream, ExchangeHandler &handler, kj::Timer &timer,
                     BufferBudget &budget, std::size_t &partialRequests,
                     const PipelineCounters *counters = nullptr, MemoryBudget *memory = nullptr)
        : stream_(kj::mv(stream))
        , reader_(stream_, {}, &budget)
        , handler_(handler)
        , timer_(timer)
        , partialRequests_(partialRequests)
        , counters_(counters)
        , memory_(memory)
    {}

    ~ServerConnection() noexcept override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    /** Serves the connection until it is closed. */
    kj::Promise<void> run();

private:
    using Reader = MessageReader<RequestHead>;
    using Number = PipelineQueue::Number;

    void handleRequestRead(Number number, bool mayContinue) override;
    bool isFirst(Number number) const override { return queue_.isFirst(number); }
    kj::Promise<void> whenFirst(Number number, std::size_t bytes) override;
    void beginFirstResponse() override;
    std::unique_ptr<HeldResponse> hold(std::size_t bytes) override;
    void handleProgress() override
    {
        lastProgress_ = std::chrono::steady_clock::now();
        ++writtenParts_;
    }
    void closeAfter(Number number) override
    {
        queue_.closeAfter(number);
        wake();
    }
    void closeAfterStarted() override
    {
        queue_.closeAfterStarted();
        wake();
    }
    bool closesAfter(Number number) const override { return queue_.closesAfter(number); }
    core::timing::MonotonicTime lastProgress() const override;
    void cutOff() override
    {
        isCutOff_ = true;
        wake();
    }

    kj::Promise<void> proceed();
    void wake();
    void finishAnswered();
    void cancelRequests();
    void takeInput();
    void add(RequestHead head);
    void startRequest();
    void giveTurn();
    void continueReading();
    kj::Promise<Reader::HeadResult> readHead();
    void watchForEnd();
    void limitIdleTime();
    // Ends the connection if its client still has to take the same part as earlier.
    kj::Promise<void> limitStallTime(std::optional<std::uint64_t> earlier);
    // Returns the number of the part that the client has to take; nothing if it has to take none.
    std::optional<std::uint64_t> awaitedPart() const;
    kj::Promise<void> refuse(const MessageFault &fault);
    kj::Promise<void> close();

    ReadAheadStream stream_;
    Reader reader_;
    ExchangeHandler &handler_;
    kj::Timer &timer_;
    std::size_t &partialRequests_;
    const PipelineCounters *counters_;
    MemoryBudget *memory_;
    PipelineQueue queue_;
    // Invariant: one element for each request of queue_, in the same order.
    std::deque<PipelinedExchange> exchanges_;
    // Makes proceed() run again; null while it is going to.
    kj::Own<kj::PromiseFulfiller<void>> wakeUp_;
    // The head that was read, or why there is none; taken by takeInput().
    std::optional<Reader::HeadResult> input_;
    core::timing::MonotonicTime inputReadAt_;
    kj::Own<core::counters::ScopedCount> partialRequest_;
    // Why no further request is read: a fault to respond to, or the end of the input.
    std::optional<MessageFault> fault_;
    bool isInputOver_ = false;
    bool isReading_ = false;
    // Whether no byte of the next request has arrived.
    bool isAwaitingInput_ = false;
    bool isIdle_ = false;
    bool isIdleTimeOver_ = false;
    // Whether input was consumed since the end of the connection is watched for.
    bool isWatchOutdated_ = true;
    bool isDisconnected_ = false;
    bool isCutOff_ = false;
    // Whether the first response is being written, and when the client last took a part of it.
    bool isWriting_ = false;
    core::timing::MonotonicTime lastProgress_;
    // How many parts of responses the client has taken.
    std::uint64_t writtenParts_ = 0;
    // Whether input is no longer handled.
    bool isClosing_ = false;
    // Why the connection fails.
    std::optional<kj::Exception> failure_;
    kj::Promise<void> reading_ = nullptr;
    kj::Promise<void> idling_ = nullptr;
    kj::Promise<void> watching_ = nullptr;
    kj::Promise<void> stalling_ = nullptr;
};

} // namespace boragetrack::transport::http
