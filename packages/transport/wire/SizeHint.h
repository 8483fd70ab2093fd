/** Expected sizes of messages between nodes. */
#pragma once

#include "control/distribution/Exchange.h"

#include <capnp/common.h>

namespace boragetrack::transport::wire {

/** Returns the expected size of a message that carries a call or its response. Without a hint, each
    message begins with eight zeroed kibibytes, which most do not use.
    @param bytes the size of its body and target, in bytes */
inline capnp::MessageSize sizeHint(std::size_t bytes)
{
    // The other fields: headers, identifiers and the load report.
    constexpr std::size_t otherWords = 128;
    return capnp::MessageSize{bytes / sizeof(capnp::word) + otherWords, 0};
}

/** Returns the expected size of a message that carries an exchange. */
inline capnp::MessageSize sizeHint(const control::distribution::Exchange &exchange)
{
    constexpr std::size_t baseWords = 32;
    constexpr std::size_t entryWords = 40;
    const std::size_t entries = exchange.members.size() + exchange.suspicions.size()
                                + exchange.verdicts.size() + exchange.evidence.size();
    return capnp::MessageSize{baseWords + entryWords * entries, 0};
}

} // namespace boragetrack::transport::wire
