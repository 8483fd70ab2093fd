/** The record is a JSON object. Its members and the organisations are sorted by name, so that equal
    reports have equal texts. */
#include "control/usage/UsageReport.h"

#include <nlohmann/json.hpp>

namespace boragetrack::control::usage {

using nlohmann::json;

namespace {

bool isUnsigned(const json &root, const char *name)
{
    return root.contains(name) && root[name].is_number_unsigned();
}

} // namespace

std::string UsageReport::toText() const
{
    json numbers = json::object();
    for (const auto &[organisation, number] : counts)
        numbers[organisation.value()] = number;
    const json root{{"windowId", window.number()}, {"counts", numbers}, {"token", token.number()}};
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<UsageReport> UsageReport::fromText(const std::string &text)
{
    const json root = json::parse(text, nullptr, false);
    const bool isRecord = root.is_object() && isUnsigned(root, "windowId")
                          && isUnsigned(root, "token") && root.contains("counts")
                          && root["counts"].is_object();
    if (!isRecord)
        return std::nullopt;
    UsageReport report{UsageWindow(root["windowId"].get<std::uint64_t>()),
                       {},
                       FencingToken(root["token"].get<std::uint64_t>())};
    for (const auto &[organisation, number] : root["counts"].items()) {
        if (!number.is_number_unsigned())
            return std::nullopt;
        report.counts.emplace(organisation, number.get<std::uint64_t>());
    }
    return report;
}

} // namespace boragetrack::control::usage
