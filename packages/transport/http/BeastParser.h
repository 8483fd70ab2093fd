/** Boost.Beast's parser with the results of its callbacks. */
#pragma once

#include "transport/http/MessageLimits.h"
#include "transport/http/RequestHead.h"
#include "transport/http/ResponseHead.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <type_traits>
#include <utility>

namespace boragetrack::transport::http {

/** Collects the head and the body of one message, one element at a time: the head, a part of the
    body or the header of a chunk. */
template <typename Head>
class BeastParser : public boost::beast::http::basic_parser<std::is_same_v<Head, RequestHead>>
{
public:
    /** @param hasBody false for a response that has no body, whatever its headers say */
    BeastParser(const MessageLimits &limits, bool hasBody)
    {
        this->header_limit(limits.headerBytes);
        this->body_limit(limits.bodyBytes);
        this->eager(false);
        this->skip(!hasBody);
    }

    /** Returns the head, which is complete once is_header_done() returns true. */
    const Head &head() const { return head_; }

    /** Returns whether the next element is the header of a chunk. Requires a complete head. */
    bool isAtChunkHeader() const
    {
        return this->chunked() && !this->is_done() && chunkBytesLeft_ == 0;
    }

    /** Returns whether a chunk was parsed; its line end is part of the next chunk header. */
    bool hasChunk() const { return hasChunk_; }

    /** Returns the number of bytes of content that were parsed. */
    std::size_t contentBytes() const { return contentBytes_; }

    /** Removes and returns the content that was parsed since the last call. */
    std::string takeBody() { return std::exchange(body_, {}); }

private:
    using Error = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb /*method*/, Text method, Text target,
                         int /*version*/, Error & /*error*/) override
    {
        if constexpr (std::is_same_v<Head, RequestHead>) {
            head_.method.assign(method.data(), method.size());
            head_.target.assign(target.data(), target.size());
        }
    }

    void on_response_impl(int code, Text /*reason*/, int /*version*/, Error &error) override
    {
        if constexpr (!std::is_same_v<Head, RequestHead>) {
            head_.status = code;
            // The library accepts any three digits.
            if (!Head::isDefinedStatus(code))
                error = boost::beast::http::error::bad_status;
        }
    }

    void on_field_impl(boost::beast::http::field field, Text name, Text value,
                       Error &error) override
    {
        // Fields of a trailer are not part of the head.
        if (this->is_header_done())
            return;
        // The library decodes chunks and leaves any coding beneath them in the body. Without
        // chunks, the end of the body is unknown, and what follows would be read as another
        // message.
        if (field == boost::beast::http::field::transfer_encoding
            && !equalsIgnoreCase({value.data(), value.size()}, "chunked")) {
            error = boost::beast::http::error::bad_transfer_encoding;
            return;
        }
        head_.headers.push_back(traffic::calls::HeaderField{
                std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }

    void on_header_impl(Error & /*error*/) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           Error & /*error*/) override
    {}

    std::size_t on_body_impl(Text body, Error & /*error*/) override
    {
        append(body);
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t size, Text /*extensions*/, Error & /*error*/) override
    {
        chunkBytesLeft_ = size;
        hasChunk_ = true;
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, Text body, Error & /*error*/) override
    {
        append(body);
        chunkBytesLeft_ -= body.size();
        return body.size();
    }

    void on_finish_impl(Error & /*error*/) override {}

    void append(Text body)
    {
        body_.append(body.data(), body.size());
        contentBytes_ += body.size();
    }

    Head head_;
    std::string body_;
    std::size_t contentBytes_ = 0;
    std::uint64_t chunkBytesLeft_ = 0;
    bool hasChunk_ = false;
};

} // namespace boragetrack::transport::http
