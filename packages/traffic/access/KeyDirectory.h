/** The keys of all organisations of an intent. */
#pragma once

#include "control/intent/Organisation.h"
#include "traffic/access/KeyOwner.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace boragetrack::traffic::access {

/** Finds organisations by key and by name. Built once for each intent; immutable. */
class KeyDirectory
{
public:
    explicit KeyDirectory(const std::vector<control::intent::Organisation> &organisations);

    /** Returns the owner of a key; null if the key is unknown. The time that this takes depends on
        the digest of the key only, from which nothing can be learned of known keys. */
    const KeyOwner *ownerOf(std::string_view key) const;

    /** Returns an organisation by its name; null if there is none. */
    const KeyOwner *organisation(const core::identity::OrganisationName &name) const;

private:
    // Invariant: the pointers are those of organisations_.
    std::unordered_map<control::intent::KeyDigest, std::shared_ptr<const KeyOwner>> owners_;
    std::unordered_map<core::identity::OrganisationName, std::shared_ptr<const KeyOwner>>
            organisations_;
};

} // namespace boragetrack::traffic::access
