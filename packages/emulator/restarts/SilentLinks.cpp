/** Links that carry everything have no entry. */
#include "emulator/restarts/SilentLinks.h"

namespace boragetrack::emulator::restarts {

void SilentLinks::add(const Link &link, const LinkSilence &silence)
{
    LinkSilence &known = silences_[link];
    known.losesRequests = known.losesRequests || silence.losesRequests;
    known.losesResponses = known.losesResponses || silence.losesResponses;
}

void SilentLinks::removeAllOf(std::size_t node)
{
    std::erase_if(silences_, [&](const auto &entry) {
        return entry.first.first == node || entry.first.second == node;
    });
}

LinkSilence SilentLinks::of(const Link &link) const
{
    const auto found = silences_.find(link);
    return found == silences_.end() ? LinkSilence{} : found->second;
}

} // namespace boragetrack::emulator::restarts
