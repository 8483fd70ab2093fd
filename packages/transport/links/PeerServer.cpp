/** Runs calls and claims on the traffic thread, and completes control requests from whichever
    thread handles them. */
#include "transport/links/PeerServer.h"

#include "transport/wire/CallCodec.h"
#include "transport/wire/ControlCodec.h"
#include "transport/wire/SizeHint.h"
#include "transport/wire/UsageCodec.h"

#include <kj/debug.h>
#include <memory>

namespace boragetrack::transport::links {

using control::distribution::Exchange;
using control::distribution::IntentTransfer;
using control::membership::MemberRecord;
using control::membership::MemberTable;
using core::identity::IdempotencyKey;
using core::identity::NodeId;
using core::identity::Revision;

namespace {

// Returns a promise for this thread's event loop, and a callback that fulfills it from any thread.
template <typename Response>
std::pair<kj::Promise<Response>, PeerRequestHandler::Callback<Response>> makeCallback()
{
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Response>();
    auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<Response>>>(kj::mv(pair.fulfiller));
    return {kj::mv(pair.promise),
            [fulfiller](Response response) { (*fulfiller)->fulfill(kj::mv(response)); }};
}

} // namespace

kj::Promise<void> PeerServer::call(CallContext context)
{
    context.allowCancellation();
    auto request = wire::decode(context.getParams().getRequest());
    context.releaseParams();
    return calls_.serve(std::move(request))
            .then([context, output = output_](traffic::calls::CallResponse &&response) mutable {
                if (output)
                    output->handleResponse(response.body.size());
                wire::encode(response,
                             context.getResults(wire::sizeHint(response.body.size())).initAnswer());
            });
}

kj::Promise<void> PeerServer::exchange(ExchangeContext context)
{
    auto [promise, callback] = makeCallback<Exchange>();
    control_.handleExchange(wire::decode(context.getParams().getRequest()), std::move(callback));
    return promise.then([context](Exchange &&response) mutable {
        wire::encode(response, context.getResults(wire::sizeHint(response)).initAnswer());
    });
}

kj::Promise<void> PeerServer::pushIntent(PushIntentContext context)
{
    auto [promise, callback] = makeCallback<Revision>();
    const auto params = context.getParams();
    control_.handlePush(NodeId(params.getSender()), wire::decode(params.getTransfer()),
                        std::move(callback));
    return promise.then([context](Revision revision) mutable {
        context.getResults().setRevision(revision.number());
    });
}

kj::Promise<void> PeerServer::fetchIntent(FetchIntentContext context)
{
    auto [promise, callback] = makeCallback<IntentTransfer>();
    control_.handleFetchIntent(Revision(context.getParams().getHave()), std::move(callback));
    return promise.then([this, context](IntentTransfer &&transfer) mutable {
        wire::encode(transfer, compressor_, context.getResults().initTransfer());
    });
}

kj::Promise<void> PeerServer::fetchMembers(FetchMembersContext context)
{
    auto [promise, callback] = makeCallback<std::vector<MemberRecord>>();
    MemberTable::BucketHashes hashes{};
    const auto list = context.getParams().getHashes();
    for (unsigned int i = 0; i < std::min<std::size_t>(list.size(), hashes.size()); ++i)
        hashes[i] = list[i];
    control_.handleFetchMembers(hashes, std::move(callback));
    return promise.then([context](std::vector<MemberRecord> &&records) mutable {
        wire::encode(records,
                     context.getResults().initMembers(static_cast<unsigned int>(records.size())));
    });
}

kj::Promise<void> PeerServer::claim(ClaimContext context)
{
    // Peers whose connections are refused take this node's claims for lost already.
    if (closing_.isGiven())
        return KJ_EXCEPTION(OVERLOADED, "the node is closing its links");
    const auto params = context.getParams();
    const NodeId holder
            = calls_.claim(IdempotencyKey(params.getKey()), NodeId(params.getClaimant()));
    context.getResults().setHolder(holder.value());
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::release(ReleaseContext context)
{
    const auto params = context.getParams();
    calls_.release(IdempotencyKey(params.getKey()), NodeId(params.getClaimant()));
    return kj::READY_NOW;
}

kj::Promise<void> PeerServer::awaitClosing(AwaitClosingContext context)
{
    context.allowCancellation();
    return closing_.whenGiven();
}

kj::Promise<void> PeerServer::reportUsage(ReportUsageContext context)
{
    auto [promise, callback] = makeCallback<control::usage::UsageWindow>();
    control_.handleUsage(wire::decode(context.getParams().getSnapshot()), std::move(callback));
    return promise.then([context](control::usage::UsageWindow reportedThrough) mutable {
        context.getResults().setReportedThrough(reportedThrough.number());
    });
}

} // namespace boragetrack::transport::links
