/** The seeds are what a link carries: its first byte and the frames of an RPC connection, plain and
    compressed, and encoded messages. */
#include "tests/fuzz/LinkTarget.h"

#include "core/counters/CounterRegistry.h"
#include "tests/fuzz/MessageReading.h"
#include "transport/links/CompressedStream.h"
#include "transport/links/LinkEncoding.h"
#include "transport/wire/CallCodec.h"
#include "transport/wire/ControlCodec.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/serialize.h>

namespace boragetrack::tests {

using namespace transport;

namespace {

/** Responds to every request with an error. */
class NoPeer final : public wire::schema::Peer::Server
{};

/** Keeps what is written. */
class RecordingStream final : public kj::AsyncIoStream
{
public:
    explicit RecordingStream(std::string &written)
        : written_(written)
    {}
    kj::Promise<size_t> tryRead(void * /*buffer*/, size_t /*minimum*/, size_t /*maximum*/) override
    {
        return kj::NEVER_DONE;
    }
    kj::Promise<void> write(const void *buffer, size_t size) override
    {
        written_.append(static_cast<const char *>(buffer), size);
        return kj::READY_NOW;
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        for (const auto &piece : pieces)
            written_.append(reinterpret_cast<const char *>(piece.begin()), piece.size());
        return kj::READY_NOW;
    }
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override {}
    void setsockopt(int /*level*/, int /*option*/, const void * /*value*/,
                    kj::uint /*length*/) override
    {}

private:
    std::string &written_;
};

control::distribution::Exchange sampleExchange()
{
    control::distribution::Exchange exchange;
    exchange.sender = core::identity::NodeId("node");
    control::membership::MemberRecord record;
    record.id = core::identity::NodeId("other");
    record.upstream.service = core::identity::ServiceName("items");
    record.upstream.departure = control::membership::AnnouncementStamp{"i-1", 5, std::nullopt};
    exchange.members.push_back(record);
    exchange.verdicts.push_back({"move", "evidence"});
    exchange.evidence.emplace_back();
    exchange.receiverDeparture = record.upstream.departure;
    return exchange;
}

traffic::calls::CallRequest sampleCall()
{
    traffic::calls::CallRequest request;
    request.method = "POST";
    request.target = "/items/1";
    request.headers.push_back({"Host", "shop.example"});
    request.body = "body";
    return request;
}

std::string serialize(capnp::MallocMessageBuilder &message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

// Returns what a client writes that opens a link and sends a request of each kind.
std::string linkBytes(links::LinkEncoding encoding)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    core::counters::CounterRegistry registry;
    std::string written;
    auto stream = links::negotiateOpened(kj::heap<RecordingStream>(written), encoding,
                                         links::LinkCounters(registry))
                          .wait(scope);
    capnp::TwoPartyClient client(*stream);
    auto peer = client.bootstrap().castAs<wire::schema::Peer>();
    auto exchange = peer.exchangeRequest();
    wire::encode(sampleExchange(), exchange.initRequest());
    auto sentExchange = exchange.send();
    auto call = peer.callRequest();
    wire::encode(sampleCall(), call.initRequest());
    auto sentCall = call.send();
    scope.poll();
    return written;
}

template <typename Schema>
void decodeAs(const std::string &input)
{
    auto words = kj::heapArray<capnp::word>((input.size() + sizeof(capnp::word) - 1)
                                            / sizeof(capnp::word));
    memset(words.begin(), 0, words.size() * sizeof(capnp::word));
    memcpy(words.begin(), input.data(), input.size());
    // An input that is no message is refused by an exception.
    static_cast<void>(kj::runCatchingExceptions([&]() {
        capnp::FlatArrayMessageReader reader(words);
        static_cast<void>(wire::decode(reader.getRoot<Schema>()));
    }));
}

void serveLink(const std::deque<std::string> &pieces)
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    core::counters::CounterRegistry registry;
    static_cast<void>(kj::runCatchingExceptions([&]() {
        auto negotiated = links::negotiateAccepted(
                                  kj::heap<ScriptedStream>(pieces, ScriptedStream::End::Close),
                                  links::LinkCounters(registry))
                                  .wait(scope);
        KJ_IF_MAYBE (stream, negotiated) {
            capnp::TwoPartyServer server(kj::heap<NoPeer>());
            server.accept(**stream).wait(scope);
        }
    }));
}

} // namespace

std::vector<std::string> LinkTarget::seeds() const
{
    capnp::MallocMessageBuilder exchange;
    wire::encode(sampleExchange(), exchange.initRoot<wire::schema::Exchange>());
    capnp::MallocMessageBuilder call;
    wire::encode(sampleCall(), call.initRoot<wire::schema::CallRequest>());
    return {linkBytes(links::LinkEncoding::Plain), linkBytes(links::LinkEncoding::Compressed),
            serialize(exchange), serialize(call)};
}

std::optional<std::string> LinkTarget::run(const std::string &input,
                                           const std::vector<std::size_t> &cuts) const
{
    serveLink(piecesOf(input, cuts));
    decodeAs<wire::schema::Exchange>(input);
    decodeAs<wire::schema::CallRequest>(input);
    decodeAs<wire::schema::CallAnswer>(input);
    decodeAs<wire::schema::IntentTransfer>(input);
    return std::nullopt;
}

} // namespace boragetrack::tests
