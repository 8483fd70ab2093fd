/** The record is a JSON object; records that cannot be parsed name no holder. */
#include "control/usage/DutyHolder.h"

#include "core/identity/AddressParser.h"

#include <nlohmann/json.hpp>

namespace boragetrack::control::usage {

using nlohmann::json;

std::string DutyHolder::toText() const
{
    const json root{
            {"node", node.value()}, {"process", generation}, {"address", address.toString()}};
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<DutyHolder> DutyHolder::fromText(const std::string &text)
{
    const json root = json::parse(text, nullptr, false);
    const bool isRecord = root.is_object() && root.contains("node") && root["node"].is_string()
                          && root.contains("process") && root["process"].is_number_unsigned()
                          && root.contains("address") && root["address"].is_string();
    if (!isRecord)
        return std::nullopt;
    const auto address = core::identity::parseAddress(root["address"].get<std::string>());
    if (!address || root["node"].get<std::string>().empty())
        return std::nullopt;
    return DutyHolder{core::identity::NodeId(root["node"].get<std::string>()),
                      root["process"].get<std::uint64_t>(), *address};
}

} // namespace boragetrack::control::usage
