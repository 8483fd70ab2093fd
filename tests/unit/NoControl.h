/** A peer without a control plane. */
#pragma once

#include "transport/links/PeerRequestHandler.h"

namespace boragetrack::tests {

/** Never responds to control requests. */
class NoControl : public transport::links::PeerRequestHandler
{
public:
    using Exchange = control::distribution::Exchange;
    using IntentTransfer = control::distribution::IntentTransfer;
    using MemberRecord = control::membership::MemberRecord;
    using BucketHashes = control::membership::MemberTable::BucketHashes;
    using Revision = core::identity::Revision;

    void handleExchange(Exchange /*request*/, Callback<Exchange> /*callback*/) override {}
    void handlePush(core::identity::NodeId /*sender*/, IntentTransfer /*transfer*/,
                    Callback<Revision> /*callback*/) override
    {}
    void handleFetchIntent(Revision /*have*/, Callback<IntentTransfer> /*callback*/) override {}
    void handleFetchMembers(BucketHashes /*hashes*/,
                            Callback<std::vector<MemberRecord>> /*callback*/) override
    {}
    void handleUsage(control::usage::UsageSnapshot /*snapshot*/,
                     Callback<control::usage::UsageWindow> /*callback*/) override
    {}
};

} // namespace boragetrack::tests
