/// \file
/// Defines strong_type, a wrapper that gives a value a distinct type.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace guavashed
{

/// Wraps a `Rep` so that identifiers or units of different meaning don't convert to each other.
///
/// Example: `using host_name = strong_type<struct host_name_tag, std::string>;`
/// Thread safety: as `Rep`.
template <class Tag, class Rep>
class strong_type
{
public:
    using rep = Rep;

    constexpr strong_type() = default;
    explicit constexpr strong_type(Rep value) : value_(std::move(value)) {}

    /// The wrapped value. No preconditions; as thread safe as `Rep`.
    constexpr Rep const& value() const { return value_; }

    friend auto operator<=>(strong_type const&, strong_type const&) = default;

    friend std::ostream& operator<<(std::ostream& out, strong_type const& item)
    {
        return out << item.value_;
    }

    /// Serializes the value with cereal. No preconditions; not thread safe.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    Rep value_{};
};

} // namespace guavashed

template <class Tag, class Rep>
struct std::hash<guavashed::strong_type<Tag, Rep>>
{
    std::size_t operator()(guavashed::strong_type<Tag, Rep> const& item) const
    {
        return std::hash<Rep>{}(item.value());
    }
};
