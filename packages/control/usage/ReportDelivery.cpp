/** States: listing what the store holds, writing a report, sending it until it is accepted, and
    ready for the next one. A write that failed or got no response leads back to listing. */
#include "control/usage/ReportDelivery.h"

#include <utility>

namespace boragetrack::control::usage {

using core::identity::Revision;
using records::RecordPage;
using records::RecordWrite;
using records::StoreRecord;
using std::chrono::nanoseconds;

ReportDelivery::ReportDelivery(const Dependencies &dependencies)
    : dependencies_(dependencies)
{}

ReportDelivery::~ReportDelivery()
{
    *self_ = nullptr;
}

template <typename Response, typename Handler>
std::function<void(const Response &)> ReportDelivery::guardedCallback(Handler handler)
{
    return [self = self_, number = number_,
            handler = std::move(handler)](const Response &response) {
        if (*self != nullptr && (*self)->number_ == number)
            handler(**self, response);
    };
}

void ReportDelivery::start(FencingToken token)
{
    ++number_;
    token_ = token;
    state_ = State::Listing;
    isCallPending_ = false;
    nextStoreCallAt_ = nanoseconds::zero();
    report_.reset();
    revision_ = Revision{};
    unansweredSince_.reset();
    isFailing_ = false;
}

void ReportDelivery::stop()
{
    ++number_;
    state_ = State::Stopped;
}

void ReportDelivery::update(nanoseconds sendBefore)
{
    const nanoseconds now = dependencies_.clock.now();
    const bool mayCallStore = !isCallPending_ && now >= nextStoreCallAt_;
    switch (state_) {
    case State::Listing:
        if (mayCallStore)
            list();
        break;
    case State::Writing:
        if (mayCallStore)
            write();
        break;
    case State::Sending:
        if (unansweredSince_ && now >= *unansweredSince_ + silenceLimit)
            dependencies_.listener.receiverSilent();
        else if (now >= nextSendAt_ && now < sendBefore)
            send(sendBefore);
        break;
    case State::Stopped:
    case State::Ready:
        break;
    }
}

void ReportDelivery::deliver(const UsageReport &report)
{
    report_ = report;
    report_->token = token_;
    state_ = State::Writing;
}

void ReportDelivery::list()
{
    isCallPending_ = true;
    dependencies_.store.list(dependencies_.reportKey, {}, storeTimeout,
                             guardedCallback<absl::StatusOr<RecordPage>>(
                                     [](ReportDelivery &delivery, const auto &response) {
                                         delivery.handleListed(response);
                                     }));
}

void ReportDelivery::handleListed(const absl::StatusOr<RecordPage> &response)
{
    isCallPending_ = false;
    if (!response.ok()) {
        retryLater();
        return;
    }
    const StoreRecord *found = nullptr;
    for (const StoreRecord &record : response->records) {
        if (record.key == dependencies_.reportKey && !record.isRemoved)
            found = &record;
    }
    const Revision before = revision_;
    revision_ = found == nullptr ? Revision{} : found->revision;
    const auto stored = found == nullptr ? std::nullopt : UsageReport::fromText(found->text);
    if (stored && stored->token > token_) {
        dependencies_.listener.tokenSuperseded("a later holder has recorded a report");
    } else if (report_ && revision_ == before) {
        // The write was not executed yet. It is repeated as it was: whichever is executed, the
        // other one fails on its condition.
        state_ = State::Writing;
    } else if (!stored) {
        // Nothing was recorded, or nothing that can be read.
        state_ = report_ ? State::Writing : State::Ready;
    } else if (stored->token == token_) {
        report_ = *stored;
        handleRecorded(revision_);
    } else {
        // An earlier holder's report, which may have been sent.
        report_ = *stored;
        report_->token = token_;
        state_ = State::Writing;
    }
}

void ReportDelivery::write()
{
    isCallPending_ = true;
    const RecordWrite record{dependencies_.reportKey, report_->toText(), revision_, {}};
    dependencies_.store.commit({record}, storeTimeout,
                               guardedCallback<absl::StatusOr<Revision>>(
                                       [](ReportDelivery &delivery, const auto &response) {
                                           delivery.handleWritten(response);
                                       }));
}

void ReportDelivery::handleWritten(const absl::StatusOr<Revision> &response)
{
    isCallPending_ = false;
    const absl::Status &status = response.status();
    if (response.ok()) {
        handleRecorded(*response);
    } else if (absl::IsUnavailable(status) || absl::IsResourceExhausted(status)) {
        retryLater();
    } else {
        state_ = State::Listing;
        if (!absl::IsAborted(status))
            retryLater();
    }
}

void ReportDelivery::handleRecorded(Revision revision)
{
    revision_ = revision;
    state_ = State::Sending;
    nextSendAt_ = std::max(nextSendAt_, dependencies_.clock.now());
    dependencies_.listener.reportRecorded(*report_);
}

void ReportDelivery::send(nanoseconds sendBefore)
{
    const nanoseconds now = dependencies_.clock.now();
    nextSendAt_ = now + std::max(repeatPeriod, dependencies_.callInterval);
    if (!unansweredSince_)
        unansweredSince_ = now;
    dependencies_.receiver.send(
            *report_, dependencies_.node, token_, sendBefore, receiverTimeout,
            guardedCallback<absl::Status>(
                    [sent = *report_](ReportDelivery &delivery, const absl::Status &status) {
                        delivery.handleSent(sent, status);
                    }));
}

void ReportDelivery::handleSent(const UsageReport &report, const absl::Status &status)
{
    if (absl::IsFailedPrecondition(status)) {
        dependencies_.listener.tokenSuperseded("the receiver has seen a higher token");
        return;
    }
    if (status.ok() || absl::IsResourceExhausted(status))
        unansweredSince_.reset();
    const bool isCurrent = state_ == State::Sending && report.window == report_->window;
    if (!isCurrent)
        return;
    if (status.ok()) {
        state_ = State::Ready;
        isFailing_ = false;
        nextSendAt_ = dependencies_.clock.now() + dependencies_.callInterval;
        dependencies_.listener.reportAccepted(report);
    } else if (!std::exchange(isFailing_, true)) {
        dependencies_.listener.reportFailed(report, std::string(status.message()));
    }
}

void ReportDelivery::retryLater()
{
    nextStoreCallAt_ = dependencies_.clock.now() + storeRetryDelay;
}

} // namespace boragetrack::control::usage
