/** Lookups in hash tables; digests are compared in constant time. */
#include "traffic/access/KeyDirectory.h"

namespace boragetrack::traffic::access {

using control::intent::KeyDigest;
using control::intent::Organisation;

KeyDirectory::KeyDirectory(const std::vector<Organisation> &organisations)
{
    for (const Organisation &organisation : organisations) {
        const auto owner = std::make_shared<const KeyOwner>(
                KeyOwner{organisation.name, organisation.priority});
        organisations_.emplace(organisation.name, owner);
        for (const KeyDigest &key : organisation.keys)
            owners_.emplace(key, owner);
    }
}

const KeyOwner *KeyDirectory::ownerOf(std::string_view key) const
{
    const auto found = owners_.find(KeyDigest::of(key));
    return found == owners_.end() ? nullptr : found->second.get();
}

const KeyOwner *KeyDirectory::organisation(const core::identity::OrganisationName &name) const
{
    const auto found = organisations_.find(name);
    return found == organisations_.end() ? nullptr : found->second.get();
}

} // namespace boragetrack::traffic::access
