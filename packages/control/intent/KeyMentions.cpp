/** Splits a text into words in two ways, since a key may contain characters that also serve as
    punctuation: at characters that no key contains, and at all that are not letters or digits. */
#include "control/intent/KeyMentions.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace boragetrack::control::intent {

using nlohmann::json;

namespace {

using CharacterTest = bool (*)(char);

bool isAlphanumeric(char character)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(character));
}

// The characters of token68 in RFC 7235.
bool isKeyCharacter(char character)
{
    return isAlphanumeric(character)
           || std::string_view("-._~+/=").find(character) != std::string_view::npos;
}

std::vector<std::string_view> wordsOf(std::string_view text, CharacterTest isInWord)
{
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const auto length = static_cast<std::size_t>(
                std::find_if_not(text.begin(), text.end(), isInWord) - text.begin());
        if (length > 0)
            words.push_back(text.substr(0, length));
        text.remove_prefix(std::min(length + 1, text.size()));
    }
    return words;
}

std::string_view withoutOuterPunctuation(std::string_view word)
{
    while (!word.empty() && !isAlphanumeric(word.front()))
        word.remove_prefix(1);
    while (!word.empty() && !isAlphanumeric(word.back()))
        word.remove_suffix(1);
    return word;
}

} // namespace

void KeyMentions::addKeysOf(const json &document)
{
    const auto list = document.find("organisations");
    if (list == document.end() || !list->is_array())
        return;
    for (const json &organisation : *list) {
        if (!organisation.is_object() || !organisation.contains("keys"))
            continue;
        for (const json &key : organisation["keys"]) {
            const auto digest
                    = key.is_string() ? KeyDigest::fromHex(key.get<std::string>()) : std::nullopt;
            if (digest)
                keys_.push_back(*digest);
        }
    }
}

bool KeyMentions::areIn(const std::string &text) const
{
    for (const CharacterTest isInWord : {isKeyCharacter, isAlphanumeric}) {
        for (const std::string_view word : wordsOf(text, isInWord)) {
            if (isKey(word) || isKey(withoutOuterPunctuation(word)))
                return true;
        }
    }
    return false;
}

bool KeyMentions::isKey(std::string_view word) const
{
    if (word.empty())
        return false;
    const KeyDigest digest = KeyDigest::of(word);
    return std::find(keys_.begin(), keys_.end(), digest) != keys_.end();
}

json withShortDigests(json value)
{
    if (value.is_string()) {
        const auto digest = KeyDigest::fromHex(value.get<std::string>());
        return digest ? json(digest->prefix()) : value;
    }
    if (value.is_structured()) {
        for (json &element : value)
            element = withShortDigests(element);
    }
    return value;
}

} // namespace boragetrack::control::intent
