/** What a node knows of the rate that a cold upstream can take. */
#pragma once

#include <algorithm>
#include <optional>

namespace boragetrack::traffic::inbound {

/**
    Combines the rate in the node's own intent with the rates that calls bring along from the
    intents of their senders.

    A node that has just started may have no intent, or an older one without the upstream's service,
    while its peers already send calls. Of several known rates the lowest applies. Rates are in
    requests per second; zero stands for no limit.
*/
class ColdRate
{
public:
    /** Sets the rate in the node's intent; nothing if the intent lacks the service. Forgets the
        rates of calls, which may have come from older intents. */
    void setIntended(std::optional<double> rate)
    {
        intended_ = rate;
        learnt_.reset();
    }

    /** Takes the rate of a call into account; nothing if its sender gave none. */
    void learn(std::optional<double> rate) { learnt_ = lowerOf(learnt_, rate); }

    /** Returns the rate that applies; nothing as long as none is known, in which case a cold
        upstream must not get calls. */
    std::optional<double> rate() const { return lowerOf(intended_, learnt_); }

private:
    static std::optional<double> lowerOf(std::optional<double> a, std::optional<double> b)
    {
        if (!a || !b)
            return a ? a : b;
        if (*a == 0.0 || *b == 0.0)
            return std::max(*a, *b);
        return std::min(*a, *b);
    }

    std::optional<double> intended_;
    std::optional<double> learnt_;
};

} // namespace boragetrack::traffic::inbound
