/** Implements DataCentreRampUp. */
#include "traffic/routing/DataCentreRampUp.h"

#include <algorithm>

namespace boragetrack::traffic::routing {

using core::identity::DataCentreId;
using core::timing::MonotonicTime;

namespace {
constexpr double firstWeight = 0.1;
} // namespace

void DataCentreRampUp::update(const control::intent::IntentDocument &document, MonotonicTime now)
{
    for (const auto &dataCentre : document.dataCentres) {
        const bool wasOut = out_.contains(dataCentre.name);
        if (dataCentre.isOut) {
            out_.insert(dataCentre.name);
            backSince_.erase(dataCentre.name);
        } else if (wasOut) {
            out_.erase(dataCentre.name);
            backSince_[dataCentre.name] = now;
        }
    }
}

double DataCentreRampUp::weightOf(const DataCentreId &name, MonotonicTime now) const
{
    if (out_.contains(name))
        return 0.0;
    const auto found = backSince_.find(name);
    if (found == backSince_.end())
        return 1.0;
    const std::chrono::duration<double> passed = now - found->second;
    const std::chrono::duration<double> whole = rampTime;
    return std::clamp(firstWeight + (1.0 - firstWeight) * (passed / whole), firstWeight, 1.0);
}

bool DataCentreRampUp::isRamping(MonotonicTime now) const
{
    return std::any_of(backSince_.begin(), backSince_.end(),
                       [&](const auto &entry) { return now - entry.second < rampTime; });
}

} // namespace boragetrack::traffic::routing
