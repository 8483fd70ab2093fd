/** A connection that supplies given pieces of input and then ends. */
#pragma once

#include <algorithm>
#include <deque>
#include <kj/async-io.h>
#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>

namespace boragetrack::tests {

/** Delivers each piece in a separate read, unless it needs more, and then the end of the input. */
class ScriptedStream final : public kj::AsyncIoStream
{
public:
    /** How the input ends after the last piece. */
    enum class End {
        Close,
        /** The next read reports a reset. */
        Reset,
        /** The next read reports a reset by an exception instead of a promise that is rejected. */
        ResetAtOnce,
        /** Writes report a reset, and reads end as after a close. */
        ResetOnWrite,
        /** As after ResetOnWrite, but the failure of the write is not known yet. */
        ResetWhileWriting,
        /** The peer closes its side in order and never reads what is written. */
        CloseWhileWriting,
        /** The peer closes its side in order after it has read all, and then resets the
            connection. */
        ResetAfterClose,
    };

    /** @param pieces empty ones are not allowed; what exceeds a read is left to the next one */
    ScriptedStream(std::deque<std::string> pieces, End end)
        : pieces_(std::move(pieces))
        , end_(end)
    {}

    kj::Promise<size_t> tryRead(void *buffer, size_t minimum, size_t maximum) override
    {
        if (pieces_.empty() && end_ == End::ResetAtOnce)
            kj::throwFatalException(resetException());
        // As from a network, bytes arrive in a later turn of the event loop.
        return kj::evalLater([this, buffer, minimum, maximum]() -> size_t {
            if (pieces_.empty() && end_ == End::Reset)
                kj::throwFatalException(resetException());
            size_t done = 0;
            do
                done += takePiece(static_cast<char *>(buffer) + done, maximum - done);
            while (done < minimum && !pieces_.empty());
            return done;
        });
    }
    kj::Promise<void> write(const void * /*buffer*/, size_t /*size*/) override
    {
        if (end_ == End::ResetOnWrite)
            return resetException();
        if (end_ == End::ResetWhileWriting || end_ == End::CloseWhileWriting)
            return kj::NEVER_DONE;
        return kj::READY_NOW;
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> /*pieces*/) override
    {
        return kj::READY_NOW;
    }
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override {}
    void getsockopt(int level, int option, void *value, kj::uint *length) override
    {
        if (level != IPPROTO_TCP || option != TCP_INFO || *length < sizeof(tcp_info))
            kj::throwFatalException(KJ_EXCEPTION(UNIMPLEMENTED, "no such option"));
        const bool isClosed = end_ == End::Close || end_ == End::CloseWhileWriting;
        tcp_info info{};
        info.tcpi_state = isClosed ? TCP_CLOSE_WAIT : TCP_CLOSE;
        *static_cast<tcp_info *>(value) = info;
    }
    void setsockopt(int /*level*/, int /*option*/, const void * /*value*/,
                    kj::uint /*length*/) override
    {}

private:
    size_t takePiece(char *buffer, size_t maximum)
    {
        if (pieces_.empty())
            return 0;
        std::string &piece = pieces_.front();
        const size_t length = std::min(piece.size(), maximum);
        std::copy_n(piece.begin(), length, buffer);
        piece.erase(0, length);
        if (piece.empty())
            pieces_.pop_front();
        return length;
    }

    static kj::Exception resetException()
    {
        return KJ_EXCEPTION(DISCONNECTED, "connection reset by peer");
    }

    std::deque<std::string> pieces_;
    End end_;
};

} // namespace boragetrack::tests
