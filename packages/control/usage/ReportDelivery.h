/** Delivery of the holder's reports. */
#pragma once

#include "control/records/RecordStore.h"
#include "control/usage/LeaseClock.h"
#include "control/usage/ReportDeliveryListener.h"
#include "control/usage/UsageReceiver.h"

#include <memory>
#include <optional>
#include <string>

namespace boragetrack::control::usage {

/**
    Writes each report to the store before it is sent, and sends exactly what the store holds.

    A new holder lists the last report and writes it again with its own token, so that the writes of
    earlier holders, which are conditional on the revision before, fail. Only then it sends it.

    Calls the store and the receiver only in update(), which the owner calls ten times a second
   while it holds the duty.
*/
class ReportDelivery
{
public:
    /** The delay between two attempts to send a report. */
    static constexpr std::chrono::milliseconds repeatPeriod{500};
    /** How long the receiver may take. Longer than the period, so that a slow receiver's responses
        are not missed. */
    static constexpr std::chrono::milliseconds receiverTimeout{2500};
    /** How long the receiver may be silent. */
    static constexpr std::chrono::milliseconds silenceLimit{5000};
    static constexpr std::chrono::milliseconds storeTimeout{1500};
    /** The delay before a failed call to the store is repeated. */
    static constexpr std::chrono::milliseconds storeRetryDelay{500};

    /** The collaborators and parameters of a delivery; references outlive it. */
    struct Dependencies
    {
        records::RecordStore &store;
        UsageReceiver &receiver;
        const LeaseClock &clock;
        ReportDeliveryListener &listener;
        core::identity::NodeId node;
        std::string reportKey;
        std::chrono::milliseconds callInterval;
    };

    explicit ReportDelivery(const Dependencies &dependencies);
    ~ReportDelivery();
    ReportDelivery(const ReportDelivery &) = delete;
    ReportDelivery &operator=(const ReportDelivery &) = delete;

    /** Starts with what the store holds. */
    void start(FencingToken token);

    /** Ends all activity; responses that are still expected are ignored. */
    void stop();

    /** Performs what is due. @param sendBefore no report is sent later */
    void update(std::chrono::nanoseconds sendBefore);

    /** Returns whether the last report has been accepted, or there is none. */
    bool isReady() const { return state_ == State::Ready; }

    /** Begins to deliver the report of a later window. Only called while ready. */
    void deliver(const UsageReport &report);

private:
    enum class State { Stopped, Listing, Writing, Sending, Ready };

    void list();
    void handleListed(const absl::StatusOr<records::RecordPage> &response);
    void write();
    void handleWritten(const absl::StatusOr<core::identity::Revision> &response);
    void handleRecorded(core::identity::Revision revision);
    void send(std::chrono::nanoseconds sendBefore);
    void handleSent(const UsageReport &report, const absl::Status &status);
    void retryLater();

    // Wraps a function of this object in a callback that does nothing once this object is destroyed
    // or the delivery has been stopped.
    template <typename Response, typename Handler>
    std::function<void(const Response &)> guardedCallback(Handler handler);

    Dependencies dependencies_;
    std::shared_ptr<ReportDelivery *> self_ = std::make_shared<ReportDelivery *>(this);
    State state_ = State::Stopped;
    // Counts the starts and stops; responses that belong to an earlier number are ignored.
    std::uint64_t number_ = 0;
    FencingToken token_;
    // Whether a call to the store is pending.
    bool isCallPending_ = false;
    std::chrono::nanoseconds nextStoreCallAt_{0};
    std::chrono::nanoseconds nextSendAt_{0};
    // The report that is being written or sent, or was accepted.
    std::optional<UsageReport> report_;
    // The revision of the key's last known change; zero if it does not exist.
    core::identity::Revision revision_;
    // The first attempt since the receiver's last response.
    std::optional<std::chrono::nanoseconds> unansweredSince_;
    // Whether the failure of the current series of attempts has been reported.
    bool isFailing_ = false;
};

} // namespace boragetrack::control::usage
