/** Accounts as JSON. */
#pragma once

#include "emulator/account/CreditAccount.h"

#include <nlohmann/json_fwd.hpp>

namespace boragetrack::emulator::account {

/** Returns an account with its shares; seconds are in their order. */
nlohmann::json toJson(const CreditAccount &account);

} // namespace boragetrack::emulator::account
