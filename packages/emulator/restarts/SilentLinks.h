/** The links between simulated nodes that carry nothing. */
#pragma once

#include "emulator/restarts/LinkSilence.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace boragetrack::emulator::restarts {

/** Records what is lost on which link. A link is named by the node that opened it and the other. */
class SilentLinks
{
public:
    using Link = std::pair<std::size_t, std::size_t>;

    /** Makes a link lose what it did not lose before. */
    void add(const Link &link, const LinkSilence &silence);

    /** Removes a link that was replaced. @returns whether it was silent */
    bool remove(const Link &link) { return silences_.erase(link) > 0; }

    /** Removes the links of a node, whose process has ended. */
    void removeAllOf(std::size_t node);

    /** Returns what is lost on a link. */
    LinkSilence of(const Link &link) const;

private:
    std::map<Link, LinkSilence> silences_;
};

} // namespace boragetrack::emulator::restarts
