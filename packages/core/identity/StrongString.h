/** String wrapper that gives each kind of identifier its own type. */
#pragma once

#include <compare>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace boragetrack::core::identity {

/** Wraps a string with a tag type, so that, for example, a node id cannot be passed as a service
    name.

    Copies share one immutable text: identifiers of hundreds of members are copied into each view of
    the members, and allocating them again would dominate the cost of a view. Copies may be used by
    different threads. */
template <typename Tag>
class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : text_(value.empty() ? nullptr : std::make_shared<const std::string>(std::move(value)))
    {}

    /** Returns the text. */
    const std::string &value() const { return text_ ? *text_ : emptyText(); }

    /** Returns whether the text is empty. */
    bool isEmpty() const { return text_ == nullptr; }

    friend bool operator==(const StrongString &left, const StrongString &right)
    {
        return left.text_ == right.text_ || left.value() == right.value();
    }

    friend std::strong_ordering operator<=>(const StrongString &left, const StrongString &right)
    {
        return left.text_ == right.text_ ? std::strong_ordering::equal
                                         : left.value() <=> right.value();
    }

private:
    static const std::string &emptyText()
    {
        static const std::string empty;
        return empty;
    }

    // Invariant: null for the empty text.
    std::shared_ptr<const std::string> text_;
};

} // namespace boragetrack::core::identity

template <typename Tag>
struct std::hash<boragetrack::core::identity::StrongString<Tag>>
{
    std::size_t operator()(const boragetrack::core::identity::StrongString<Tag> &text) const
    {
        return std::hash<std::string>{}(text.value());
    }
};
