/** Fuzz target of the links between nodes. */
#pragma once

#include "tests/fuzz/FuzzTarget.h"

namespace boragetrack::tests {

/** Feeds an input to an accepted link, as its encoding, compression, RPC frames and messages, and
    decodes it as each control and call message. Nothing but an exception may come of it. */
class LinkTarget : public FuzzTarget
{
public:
    std::vector<std::string> seeds() const override;
    std::optional<std::string> run(const std::string &input,
                                   const std::vector<std::size_t> &cuts) const override;
};

} // namespace boragetrack::tests
