/** Emulated callers. */
#pragma once

#include "emulator/account/CreditAccount.h"
#include "emulator/clock/EventClock.h"
#include "emulator/model/CallSink.h"

#include <memory>
#include <random>

namespace boragetrack::emulator::model {

/** Makes requests, repeats them as their kind says, and accounts for how they end. */
class CallerModel
{
public:
    /** Returns the node that a new try goes to. */
    using NodeChoice = std::function<CallSink &()>;

    /** Parts that outlive the callers. */
    struct Parts
    {
        clock::EventClock &clock;
        account::CreditAccount &account;
        NodeChoice chooseNode;
        std::string dataCentre;
    };

    explicit CallerModel(Parts parts)
        : parts_(std::move(parts))
    {}

    /** Makes a request. @param repeats how often it is tried again
        @param isImpatient whether it is tried again at once, whatever the answer says */
    void request(const plan::KindPlan &kind, int repeats, bool isImpatient);

private:
    struct Request;

    void attempt(const std::shared_ptr<Request> &request);
    void ended(const std::shared_ptr<Request> &request, const traffic::calls::CallResponse &answer);
    void close(const std::shared_ptr<Request> &request, account::RequestEnd end);

    Parts parts_;
    std::uint64_t lastId_ = 0;
};

} // namespace boragetrack::emulator::model
