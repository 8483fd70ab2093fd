/** Runs each exchange on an idle connection if one is usable, otherwise on a new one. A
    connection is kept only after its response was read whole. */
#include "transport/http/AsyncClient.h"

#include "transport/http/KeepAlive.h"
#include "transport/http/MessageWriter.h"
#include "transport/timing/Deadline.h"

namespace boragetrack::transport::http {

namespace {

constexpr int tooLargeStatus = 413;
constexpr const char *tooLargeText = "the response is too large";

kj::Duration toKj(std::chrono::nanoseconds time)
{
    return time.count() * kj::NANOSECONDS;
}

} // namespace

/** A persistent connection to the server and the reader of its responses. */
class AsyncClient::Connection
{
public:
    explicit Connection(kj::Own<kj::AsyncIoStream> stream)
        : stream_(kj::mv(stream))
        , reader_(stream_, MessageLimits{64 * 1024, maximumResponseBytes})
    {}

    ReadAheadStream &stream() { return stream_; }
    MessageReader<ResponseHead> &reader() { return reader_; }

    bool isReusable(kj::TimePoint now) const
    {
        return !stream_.isEnded() && stream_.bytes().empty()
               && now - respondedAt_ <= toKj(maximumIdleTime);
    }

    kj::TimePoint lastResponse() const { return respondedAt_; }

    // Reads ahead, so that isReusable() notices when the server closes the idle connection.
    void watchForClose(kj::TimePoint now)
    {
        respondedAt_ = now;
        closeWatch_ = stream_.readMore().eagerlyEvaluate(nullptr);
    }

private:
    ReadAheadStream stream_;
    MessageReader<ResponseHead> reader_;
    kj::TimePoint respondedAt_ = kj::origin<kj::TimePoint>();
    kj::Promise<void> closeWatch_ = nullptr;
};

/** Sends one request and reads its response; keeps the connection if it can be reused. */
class AsyncClient::Exchange
{
public:
    Exchange(AsyncClient &client, kj::Own<Connection> connection, HttpRequest request)
        : client_(client)
        , connection_(kj::mv(connection))
    {
        RequestHead head{request.method, request.target, std::move(request.headers)};
        head.headers.push_back({"Host", client_.server_.toString()});
        requestText_ = serializeHead(head, request.body.size()) + request.body;
    }

    kj::Promise<Result> run()
    {
        // A server may respond to a long request, for instance refuse it, before it has read it.
        auto written = connection_->stream()
                               .write(kj::arrayPtr(requestText_.data(), requestText_.size()))
                               .then([this]() { isRequestWritten_ = true; })
                               .catch_([](kj::Exception && /*exception*/) {
                                   // The reader detects a broken connection as well.
                               })
                               .eagerlyEvaluate(nullptr);
        return readResponse().attach(kj::mv(written));
    }

private:
    kj::Promise<Result> readResponse()
    {
        return connection_->reader()
                .readHead()
                .then([this](MessageReader<ResponseHead>::HeadResult &&result)
                              -> kj::Promise<Result> {
                    auto *head = std::get_if<ResponseHead>(&result);
                    const auto *fault = std::get_if<MessageFault>(&result);
                    if (fault != nullptr && fault->status == tooLargeStatus)
                        return Result(absl::OutOfRangeError(tooLargeText));
                    if (fault != nullptr)
                        return Result(absl::UnknownError("malformed response: " + fault->reason));
                    if (head == nullptr)
                        return Result(
                                absl::UnknownError("the connection ended without a response"));
                    response_.status = head->status;
                    response_.headers = std::move(head->headers);
                    return readBody();
                })
                .catch_([](kj::Exception &&exception) {
                    return Result(absl::UnknownError(exception.getDescription().cStr()));
                });
    }

    kj::Promise<Result> readBody()
    {
        return connection_->reader()
                .readBodyUpTo(maximumResponseBytes)
                .then([this](BodyPiece &&body) {
                    if (!body.isLast)
                        return Result(absl::OutOfRangeError(tooLargeText));
                    response_.body = std::move(body.bytes);
                    if (isRequestWritten_ && connection_->reader().message().keepsConnection()) {
                        connection_->watchForClose(client_.timer_.now());
                        client_.idleConnections_.push_back(kj::mv(connection_));
                    }
                    return Result(std::move(response_));
                });
    }

    AsyncClient &client_;
    kj::Own<Connection> connection_;
    std::string requestText_;
    bool isRequestWritten_ = false;
    HttpResponse response_;
};

AsyncClient::AsyncClient(kj::Network &network, kj::Timer &timer,
                         core::identity::NetworkAddress server)
    : network_(network)
    , timer_(timer)
    , server_(std::move(server))
{}

AsyncClient::~AsyncClient() noexcept = default;

kj::Promise<absl::StatusOr<HttpResponse>>
AsyncClient::send(HttpRequest request, std::chrono::milliseconds timeout, BeginFunction begin)
{
    const kj::TimePoint startedAt = timer_.now();
    auto response = acquire().then(
            [this, request = std::move(request), begin = std::move(begin)](
                    kj::Own<Connection> &&connection) mutable -> kj::Promise<Result> {
                auto exchange = kj::heap<Exchange>(*this, kj::mv(connection), std::move(request));
                std::optional<std::unique_lock<std::mutex>> permit;
                if (begin && !(permit = begin()))
                    return Result(absl::UnavailableError("not due any more once connected"));
                auto running = exchange->run();
                return running.attach(kj::mv(exchange));
            },
            [](kj::Exception &&exception) -> kj::Promise<Result> {
                return Result(absl::UnavailableError(exception.getDescription().cStr()));
            });
    return timing::resultWithin(timer_, toKj(timeout), kj::mv(response))
            .catch_([this, startedAt](kj::Exception && /*exception*/) {
                dropIdleSince(startedAt);
                return Result(absl::UnknownError("no response in time"));
            });
}

kj::Promise<kj::Own<AsyncClient::Connection>> AsyncClient::acquire()
{
    while (!idleConnections_.empty()) {
        kj::Own<Connection> connection = kj::mv(idleConnections_.back());
        idleConnections_.pop_back();
        if (connection->isReusable(timer_.now()))
            return kj::mv(connection);
    }
    auto connecting = network_.parseAddress(server_.toString())
                              .then([](kj::Own<kj::NetworkAddress> &&address) {
                                  auto promise = address->connect();
                                  return promise.attach(kj::mv(address));
                              })
                              .then([](kj::Own<kj::AsyncIoStream> &&stream) {
                                  enableKeepAlive(*stream);
                                  return kj::heap<Connection>(kj::mv(stream));
                              });
    return timing::resultWithin(timer_, toKj(connectTimeout), kj::mv(connecting));
}

void AsyncClient::dropIdleSince(kj::TimePoint time)
{
    std::erase_if(idleConnections_, [&](const kj::Own<Connection> &connection) {
        return connection->lastResponse() <= time;
    });
}

} // namespace boragetrack::transport::http
