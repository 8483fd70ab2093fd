/** Notice to peers that a node is about to close its links. */
#pragma once

#include <kj/async.h>

namespace boragetrack::transport::links {

/** Is given once, to everyone who waits for it or asks later. Used on the traffic thread only. */
class ClosingNotice
{
public:
    ClosingNotice()
        : ClosingNotice(kj::newPromiseAndFulfiller<void>())
    {}

    /** Gives the notice. */
    void give()
    {
        isGiven_ = true;
        fulfiller_->fulfill();
    }

    /** Returns whether the notice was given. */
    bool isGiven() const { return isGiven_; }

    /** Returns a promise that is fulfilled once the notice is given. */
    kj::Promise<void> whenGiven() { return given_.addBranch(); }

private:
    explicit ClosingNotice(kj::PromiseFulfillerPair<void> pair)
        : fulfiller_(kj::mv(pair.fulfiller))
        , given_(pair.promise.fork())
    {}

    bool isGiven_ = false;
    kj::Own<kj::PromiseFulfiller<void>> fulfiller_;
    kj::ForkedPromise<void> given_;
};

} // namespace boragetrack::transport::links
