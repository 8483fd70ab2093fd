/** The record of the node that holds a duty. */
#pragma once

#include "core/identity/NetworkAddress.h"
#include "core/identity/NodeId.h"

#include <cstdint>
#include <optional>
#include <string>

namespace boragetrack::control::usage {

/** Names the process that holds the duty and where peers reach it. */
struct DutyHolder
{
    core::identity::NodeId node;
    /** Distinguishes the processes of a node. */
    std::uint64_t generation = 0;
    core::identity::NetworkAddress address;

    friend bool operator==(const DutyHolder &, const DutyHolder &) = default;

    /** Returns the text that the store keeps. */
    std::string toText() const;

    /** Parses the text of a record. @returns nothing if it names no holder */
    static std::optional<DutyHolder> fromText(const std::string &text);
};

} // namespace boragetrack::control::usage
