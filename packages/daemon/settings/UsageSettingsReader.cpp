/** Numbers may be given as texts: a platform that does not know a value fills in an empty one, for
    which the default applies. */
#include "daemon/settings/UsageSettingsReader.h"

#include "core/identity/AddressParser.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace boragetrack::daemon::settings {

using core::findings::FindingList;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr const char *section = "/usageReports";
constexpr const char *dutyName = "usage";
// Windows are numbered by their length in whole milliseconds.
constexpr double minimumSeconds = 0.1;
constexpr double maximumSeconds = 3600.0;
constexpr double minimumRate = 1.0;
constexpr double maximumRate = 10'000.0;
// A former holder's last calls may come beside those of its successor; together they keep within
// the rate.
constexpr double maximumHolders = 2.0;

// Returns the default for a missing field and an empty text.
double readNumber(const json &object, const char *name, double defaultValue, double minimum,
                  double maximum, FindingList &findings)
{
    const json value = object.value(name, json(defaultValue));
    double number = value.is_number() ? value.get<double>() : defaultValue;
    const bool isRead = !value.is_string() || value.get<std::string>().empty()
                        || absl::SimpleAtod(value.get<std::string>(), &number);
    if (!isRead || !(number >= minimum && number <= maximum)) {
        findings.add(std::string(section) + "/" + name, value.dump() + " is not a number from "
                                                                + std::to_string(minimum) + " to "
                                                                + std::to_string(maximum));
        return defaultValue;
    }
    return number;
}

milliseconds readSeconds(const json &object, const char *name, milliseconds defaultValue,
                         FindingList &findings)
{
    const std::chrono::duration<double> defaultSeconds(defaultValue);
    return std::chrono::round<milliseconds>(std::chrono::duration<double>(readNumber(
            object, name, defaultSeconds.count(), minimumSeconds, maximumSeconds, findings)));
}

bool hasDuty(const json &root)
{
    const json duties = root.value("duties", json::array({dutyName}));
    return std::find(duties.begin(), duties.end(), json(dutyName)) != duties.end();
}

} // namespace

std::optional<UsageReportSettings> readUsageReports(const json &root, NodeInterface interface,
                                                    FindingList &findings)
{
    if (!root.contains("usageReports") || !hasDuty(root))
        return std::nullopt;
    if (interface != NodeInterface::Platform) {
        findings.add(section, "requires the platform's interface, as the native store has no "
                              "leases");
        return std::nullopt;
    }
    const json &object = root["usageReports"];
    UsageReportSettings settings;
    const std::string receiver = object["receiver"];
    if (const auto address = core::identity::parseAddress(receiver))
        settings.receiver = *address;
    else
        findings.add(std::string(section) + "/receiver",
                     "'" + receiver + "' is not an address like 10.0.0.1:80");
    auto &timing = settings.timing;
    timing.windowPeriod = readSeconds(object, "windowSeconds", timing.windowPeriod, findings);
    timing.reportDelay = readSeconds(object, "lateSeconds", timing.reportDelay, findings);
    timing.leaseTime = readSeconds(object, "leaseSeconds", timing.leaseTime, findings);
    const std::chrono::duration<double> defaultInterval(timing.callInterval);
    const double rate
            = readNumber(object, "callsPerSecond", maximumHolders / defaultInterval.count(),
                         minimumRate, maximumRate, findings);
    timing.callInterval
            = milliseconds(static_cast<std::int64_t>(std::ceil(maximumHolders * 1000.0 / rate)));
    return settings;
}

} // namespace boragetrack::daemon::settings
