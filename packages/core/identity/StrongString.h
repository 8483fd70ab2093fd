/** String wrapper that gives each kind of identifier its own type. */
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace boragetrack::core::identity {

/** Wraps a string with a tag type, so that, for example, a node id cannot be passed as a service
    name. */
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

    /** Returns whether the text is empty. */
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
