/** Election of the holder of a duty by a leased record of the store. */
#pragma once

#include "control/records/RecordStore.h"
#include "control/records/RecordTable.h"
#include "control/usage/DutyHolder.h"
#include "control/usage/FencingToken.h"
#include "control/usage/HolderElectionListener.h"
#include "control/usage/LeaseClock.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragetrack::control::usage {

/**
    Applies for the duty while it is vacant and renews the lease while this process holds it.

    The store writes the holder's record on the condition that it does not exist; the revision of
    that write is the fencing token. At any time at most one lease of this process can carry the
    record: a new application begins only after the lease of an unsettled one has expired.

    Performs an action only in update(), which the owner calls ten times a second, and in the
    callbacks of the store.
*/
class HolderElection
{
public:
    /** The delay before applying, for each place in the order. */
    static constexpr std::chrono::milliseconds delayPerPlace{300};
    /** The number of nodes that apply. */
    static constexpr std::size_t maximumPlaces = 5;
    static constexpr std::chrono::milliseconds renewalPeriod{1000};
    static constexpr std::chrono::milliseconds renewalTimeout{900};
    static constexpr std::chrono::milliseconds responseTimeout{1500};
    /** The delay before an application or a listing that the store did not serve is repeated. */
    static constexpr std::chrono::milliseconds retryDelay{1000};
    /** How long before its end a lease is taken for expired. Covers the way of a call to the
        receiver and clocks of different speed. */
    static constexpr std::chrono::milliseconds leaseMargin{200};
    /** How long a call to the receiver may wait on this node before it is sent. */
    static constexpr std::chrono::milliseconds sendWindow{500};
    /** The least time between the last call of a holder and its next application. Holders that
        alternate within the lifetime of a lease (3 s) would look like two holders. */
    static constexpr std::chrono::milliseconds restTime{4000};
    /** The least time between giving up a duty that this node can not perform and the next
        application. */
    static constexpr std::chrono::milliseconds incapableTime{10'000};

    /** The collaborators and parameters of an election; references outlive it. */
    struct Dependencies
    {
        records::RecordStore &store;
        const LeaseClock &clock;
        HolderElectionListener &listener;
        DutyHolder self;
        /** The key of the holder's record. */
        std::string holderKey;
        /** A key that every holder writes; it exists if there was ever a holder. */
        std::string outcomeKey;
        std::chrono::milliseconds leaseTime;
    };

    explicit HolderElection(const Dependencies &dependencies);
    ~HolderElection();
    HolderElection(const HolderElection &) = delete;
    HolderElection &operator=(const HolderElection &) = delete;

    /** Sets the live members in the order of applications. */
    void setOrder(std::vector<DutyHolder> order);

    /** Handles changes of this node's copy of the store's records. */
    void recordsChanged(const records::RecordTable &records);

    /** Performs what is due. */
    void update();

    /** Gives the duty up if it is held. @param pause the least time until the next application */
    void resign(const std::string &reason, std::chrono::milliseconds pause);

    /** Gives the duty up and does not apply any more. */
    void stop();

    /** Returns the token, or nothing if the duty is not held or the lease may have expired. */
    std::optional<FencingToken> token() const;

    /** Returns the time until which a call to the receiver may be sent. Only meaningful while
        token() returns one. */
    std::chrono::nanoseconds sendBefore() const;

    /** Returns the holder by the store's records. */
    const std::optional<DutyHolder> &holder() const { return holder_; }

private:
    enum class State { Idle, Granting, Committing, Confirming, Holding };

    bool mayApply() const;
    void apply();
    void handleLeaseGranted(const absl::StatusOr<records::Lease> &response);
    void handleCommitted(const absl::StatusOr<core::identity::Revision> &response);
    void confirm();
    void handleListed(const absl::StatusOr<records::RecordPage> &response);
    void abandon(std::chrono::nanoseconds retryAt);
    void gain(FencingToken token);
    void lose(const std::string &reason);
    void renew();
    void handleRenewed(std::chrono::nanoseconds sentAt,
                       const absl::StatusOr<records::Lease> &response);
    // Returns when the lease of this application has certainly expired at the store.
    std::chrono::nanoseconds settledAt() const;
    std::chrono::nanoseconds expiryOf(const records::Lease &lease,
                                      std::chrono::nanoseconds sentAt) const;

    // Wraps a function of this object in a callback that does nothing once this object is destroyed
    // or the application or duty has ended.
    template <typename Response, typename Handler>
    records::RecordStore::Callback<Response> guardedCallback(Handler handler);

    Dependencies dependencies_;
    std::shared_ptr<HolderElection *> self_ = std::make_shared<HolderElection *>(this);
    std::vector<DutyHolder> order_;
    State state_ = State::Idle;
    // Counts the applications; responses that belong to an earlier one are ignored.
    std::uint64_t attempt_ = 0;
    bool isStopped_ = false;
    bool isCallPending_ = false;
    records::Lease lease_;
    FencingToken token_;
    // The highest token that this process has held.
    FencingToken lastToken_;
    // All times are on the lease clock.
    std::chrono::nanoseconds grantSentAt_{0};
    std::chrono::nanoseconds grantedAt_{0};
    std::chrono::nanoseconds validUntil_{0};
    std::chrono::nanoseconds nextCallAt_{0};
    const std::chrono::nanoseconds startedAt_;
    std::chrono::nanoseconds applyNotBefore_{0};
    std::optional<DutyHolder> holder_;
    // Since when the records show no holder; nothing while they show one or are not known.
    std::optional<std::chrono::nanoseconds> vacantSince_;
    // Whether the records show that there never was a holder.
    bool isBootstrap_ = false;
};

} // namespace boragetrack::control::usage
