/** Distributions of the time that changes take. */
#pragma once

#include "emulator/restarts/ChangeDelay.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace boragetrack::bench::restarts {

/** Collects delays by the kind of the disturbance, or by the number of disturbances if there are
    several. */
class ChangeDelayTable
{
public:
    void add(const emulator::restarts::ChangeDelay &change);

    /** Returns the count, the quantiles and the maximum of each group, in ms. */
    nlohmann::json toJson() const;

private:
    std::map<std::string, std::vector<std::chrono::milliseconds>> delays_;
};

} // namespace boragetrack::bench::restarts
