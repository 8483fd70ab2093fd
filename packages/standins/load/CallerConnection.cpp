/** Sends requests with the HTTP client of KJ. After any error the connection is closed, because its
    state is unknown. */
#include "standins/load/CallerConnection.h"

namespace boragetrack::standins::load {

using transport::http::HttpRequest;
using transport::http::HttpResponse;

bool CallerConnection::connect(const core::identity::NetworkAddress &server)
{
    if (client_.get() != nullptr && server_ == server)
        return true;
    close();
    try {
        auto address
                = io_.provider->getNetwork().parseAddress(server.toString()).wait(io_.waitScope);
        stream_ = address->connect().wait(io_.waitScope);
    } catch (const kj::Exception &) {
        return false;
    }
    client_ = kj::newHttpClient(*headerTable_, *stream_);
    server_ = server;
    return true;
}

std::optional<HttpResponse> CallerConnection::send(const HttpRequest &request,
                                                   std::chrono::milliseconds timeout)
{
    try {
        kj::HttpHeaders headers(*headerTable_);
        headers.set(kj::HttpHeaderId::HOST, kj::heapString(server_.toString().c_str()));
        for (const auto &field : request.headers)
            headers.add(kj::heapString(field.name.c_str()), kj::heapString(field.value.c_str()));
        const auto method = request.method == "GET" ? kj::HttpMethod::GET : kj::HttpMethod::POST;
        auto http = client_->request(method, request.target.c_str(), headers, request.body.size());
        kj::Promise<void> written = kj::READY_NOW;
        if (!request.body.empty())
            written = http.body->write(request.body.data(), request.body.size());
        HttpResponse result;
        auto exchange = written.then([&]() {
                                   http.body = nullptr;
                                   return kj::mv(http.response);
                               })
                                .then([&](kj::HttpClient::Response &&response) {
                                    result.status = static_cast<int>(response.statusCode);
                                    response.headers->forEach([&](kj::StringPtr name,
                                                                  kj::StringPtr value) {
                                        result.headers.push_back({name.cStr(), value.cStr()});
                                    });
                                    auto text = response.body->readAllText();
                                    return text.attach(kj::mv(response.body));
                                })
                                .then([&](kj::String &&text) { result.body = text.cStr(); });
        io_.provider->getTimer()
                .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(exchange))
                .wait(io_.waitScope);
        return result;
    } catch (const kj::Exception &) {
        close();
        return std::nullopt;
    }
}

void CallerConnection::close()
{
    client_ = nullptr;
    stream_ = nullptr;
    server_ = {};
}

} // namespace boragetrack::standins::load
