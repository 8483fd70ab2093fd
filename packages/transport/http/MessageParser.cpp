/** Collects what Boost.Beast's callbacks report into a head, body bytes and the first fault. */
#include "transport/http/MessageParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace boragetrack::transport::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr int badRequest = 400;
constexpr int payloadTooLarge = 413;
constexpr int headersTooLarge = 431;

int statusFor(const beast::error_code &error)
{
    if (error == bhttp::error::header_limit)
        return headersTooLarge;
    return error == bhttp::error::body_limit ? payloadTooLarge : badRequest;
}

} // namespace

template <typename Head>
class MessageParser<Head>::Implementation
    : public bhttp::basic_parser<std::is_same_v<Head, RequestHead>>
{
public:
    explicit Implementation(const MessageLimits &limits)
    {
        this->header_limit(limits.headerBytes);
        this->body_limit(limits.bodyBytes);
        this->eager(true);
    }

    void fail(const beast::error_code &error)
    {
        fault_ = MessageFault{statusFor(error), error.message()};
    }

    std::optional<MessageFault> fault_;
    Head head_;
    std::string body_;
    bool hasBegun_ = false;

private:
    void on_request_impl(bhttp::verb /*method*/, beast::string_view method,
                         beast::string_view target, int /*version*/,
                         beast::error_code & /*error*/) override
    {
        if constexpr (std::is_same_v<Head, RequestHead>) {
            head_.method.assign(method.data(), method.size());
            head_.target.assign(target.data(), target.size());
        }
    }

    void on_response_impl(int code, beast::string_view /*reason*/, int /*version*/,
                          beast::error_code & /*error*/) override
    {
        if constexpr (std::is_same_v<Head, ResponseHead>)
            head_.status = code;
    }

    void on_field_impl(bhttp::field /*name*/, beast::string_view name, beast::string_view value,
                       beast::error_code & /*error*/) override
    {
        // Fields of a trailer are not part of the head.
        if (this->is_header_done())
            return;
        head_.headers.push_back(traffic::calls::HeaderField{
                std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }

    void on_header_impl(beast::error_code & /*error*/) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           beast::error_code & /*error*/) override
    {}

    std::size_t on_body_impl(beast::string_view body, beast::error_code & /*error*/) override
    {
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast::error_code & /*error*/) override
    {}

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view body,
                                   beast::error_code & /*error*/) override
    {
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_finish_impl(beast::error_code & /*error*/) override {}
};

template <typename Head>
MessageParser<Head>::MessageParser(const MessageLimits &limits)
    : implementation_(std::make_unique<Implementation>(limits))
{}

template <typename Head>
MessageParser<Head>::~MessageParser() = default;

template <typename Head>
std::size_t MessageParser<Head>::put(std::string_view bytes)
{
    Implementation &self = *implementation_;
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !self.is_done() && !self.fault_) {
        self.hasBegun_ = true;
        beast::error_code error;
        const std::string_view rest = bytes.substr(consumed);
        consumed += self.put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        if (error == bhttp::error::need_more)
            break;
        if (error)
            self.fail(error);
    }
    return consumed;
}

template <typename Head>
void MessageParser<Head>::putEnd()
{
    Implementation &self = *implementation_;
    if (self.is_done() || self.fault_)
        return;
    beast::error_code error;
    if (self.is_header_done())
        self.put_eof(error);
    else
        error = bhttp::error::partial_message;
    if (error)
        self.fail(error);
}

template <typename Head>
void MessageParser<Head>::skipBody()
{
    implementation_->skip(true);
}

template <typename Head>
const std::optional<MessageFault> &MessageParser<Head>::fault() const
{
    return implementation_->fault_;
}

template <typename Head>
bool MessageParser<Head>::isHeadDone() const
{
    return implementation_->is_header_done();
}

template <typename Head>
bool MessageParser<Head>::isDone() const
{
    return implementation_->is_done();
}

template <typename Head>
bool MessageParser<Head>::keepsConnection() const
{
    return implementation_->keep_alive();
}

template <typename Head>
bool MessageParser<Head>::hasBegun() const
{
    return implementation_->hasBegun_;
}

template <typename Head>
const Head &MessageParser<Head>::head() const
{
    return implementation_->head_;
}

template <typename Head>
std::optional<std::uint64_t> MessageParser<Head>::bodyLength() const
{
    const auto length = implementation_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <typename Head>
std::string MessageParser<Head>::takeBody()
{
    return std::move(implementation_->body_);
}

template class MessageParser<RequestHead>;
template class MessageParser<ResponseHead>;

} // namespace boragetrack::transport::http
