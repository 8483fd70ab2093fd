/** Detection of keys in texts that must not contain any. */
#pragma once

#include "control/intent/KeyDigest.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace boragetrack::control::intent {

/** Finds the keys of organisations in a text, such as a reason into which an operator pasted one.
    Only digests are known, so that the words of the text are hashed and compared. */
class KeyMentions
{
public:
    /** Adds the keys of the organisations of a document, which need not be valid. */
    void addKeysOf(const nlohmann::json &document);

    /** Returns whether a word of a text is one of the keys, alone or between punctuation marks. */
    bool areIn(const std::string &text) const;

private:
    bool isKey(std::string_view word) const;

    std::vector<KeyDigest> keys_;
};

/** Returns the value with each digest of a key cut to the digits that identify it to operators. */
nlohmann::json withShortDigests(nlohmann::json value);

} // namespace boragetrack::control::intent
