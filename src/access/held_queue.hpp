/// \file
/// Defines held_queue, a bounded queue of items that wait for a decision until a deadline.
#pragma once

#include "base/instant.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace guavashed
{

/// Holds items, each until its own deadline. Thread safety: none.
///
/// Example: `held_queue<call_ptr> held_(256);`
template <class Item>
class held_queue
{
public:
    struct held
    {
        Item item;
        instant until;
    };

    explicit held_queue(std::size_t capacity) : capacity_(capacity) {}

    /// False when the queue is full; the item is then not held.
    bool add(Item item, instant until)
    {
        if (items_.size() >= capacity_)
            return false;
        put_back({std::move(item), until});
        return true;
    }

    /// Removes the item; no effect when it is not held.
    void remove(Item const& item)
    {
        std::erase_if(items_, [&item](held const& at) { return at.item == item; });
    }

    /// Removes and returns the items whose time is over.
    std::vector<Item> take_expired(instant now)
    {
        std::vector<Item> out;
        while (!items_.empty() && items_.front().until <= now)
        {
            out.push_back(std::move(items_.front().item));
            items_.pop_front();
        }
        return out;
    }

    /// Removes and returns all items, oldest first.
    std::deque<held> take_all() { return std::exchange(items_, {}); }

    /// Holds an item again that `take_all` returned, with its first deadline.
    void put_back(held item)
    {
        auto const at =
            std::upper_bound(items_.begin(), items_.end(), item.until,
                             [](instant until, held const& other) { return until < other.until; });
        items_.insert(at, std::move(item));
    }

    /// When the time of the first item is over; `instant::max()` when there is none.
    instant next_expiry() const { return items_.empty() ? instant::max() : items_.front().until; }
    template <class Predicate>
    std::size_t count(Predicate matches) const
    {
        return static_cast<std::size_t>(std::count_if(
            items_.begin(), items_.end(), [&matches](held const& at) { return matches(at.item); }));
    }
    bool empty() const { return items_.empty(); }
    std::size_t size() const { return items_.size(); }

private:
    std::size_t capacity_;
    /// In the order of their deadlines.
    std::deque<held> items_;
};

} // namespace guavashed
