/** A string that cannot be mistaken for a string of another meaning. */
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace boragetrack::core::identity {

/** Wraps a string under a tag type, so that a node id never passes as a service name. */
template <typename Tag>
class StrongString
{
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : value_(std::move(value))
    {}

    /** Returns the text. */
    const std::string &value() const { return value_; }

    /** Returns whether no text is held. */
    bool isEmpty() const { return value_.empty(); }

    friend auto operator<=>(const StrongString &, const StrongString &) = default;

private:
    std::string value_;
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
