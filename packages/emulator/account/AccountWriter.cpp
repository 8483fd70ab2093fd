/** Implements the writing of accounts. */
#include "emulator/account/AccountWriter.h"

#include <nlohmann/json.hpp>

namespace boragetrack::emulator::account {

using nlohmann::json;

namespace {

json lineToJson(const CreditLine &line)
{
    return {{"asked", line.asked},     {"inTime", line.inTime}, {"late", line.late},
            {"refused", line.refused}, {"failed", line.failed}, {"share", line.share()}};
}

json linesToJson(const std::map<std::string, CreditLine> &lines)
{
    json object = json::object();
    for (const auto &[name, line] : lines)
        object[name] = lineToJson(line);
    return object;
}

} // namespace

json toJson(const CreditAccount &account)
{
    json seconds = json::array();
    for (const auto &[second, line] : account.seconds()) {
        json entry = lineToJson(line);
        entry["second"] = second;
        seconds.push_back(entry);
    }
    return {{"day", lineToJson(account.day())},
            {"kinds", linesToJson(account.kinds())},
            {"dataCentres", linesToJson(account.dataCentres())},
            {"seconds", seconds},
            {"worstSeconds", account.worstSeconds()},
            {"worstKind", account.worstKind()},
            {"worstDataCentre", account.worstDataCentre()},
            {"attempts", account.attempts()},
            {"remoteAttempts", account.remoteAttempts()},
            {"repeats", account.repeats()},
            {"crossedBytes", account.crossedBytes()}};
}

} // namespace boragetrack::emulator::account
