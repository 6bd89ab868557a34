/// \file
/// Defines chart, a validated transition table read from a JSON file, and chart_state, the current
/// state of one object under such a table.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavashed
{

/// The states and events that a chart may name; any other name is an error.
struct chart_vocabulary
{
    std::vector<std::string> states;
    std::vector<std::string> events;
};

/// A validated state chart: for each state and event, the next state, or the same state when the
/// event is ignored.
class chart
{
public:
    /// Reads and validates a chart. An unknown state or event, a state without a transition for an
    /// event, and an unreachable state are errors that name the file and the state. Thread safe.
    static result<chart> load(std::string const& path, chart_vocabulary const& vocabulary);
    /// Like `load`, but from text; errors name `label` in place of the file. Thread safe.
    static result<chart> parse(std::string const& text, std::string const& label,
                               chart_vocabulary const& vocabulary);

    /// Returns the index in the vocabulary of the state that follows `state` on `event`; `state`
    /// itself when the event is ignored. Precondition: both indices are within the vocabulary.
    /// Thread safe.
    std::size_t next(std::size_t state, std::size_t event) const;
    /// Index of the initial state. Thread safe.
    std::size_t initial() const { return initial_; }
    /// Thread safe.
    std::string const& state_name(std::size_t state) const { return states_[state]; }

private:
    std::vector<std::string> states_;
    std::size_t events_ = 0;
    std::size_t initial_ = 0;
    std::vector<std::size_t> table_;
};

/// The current state of one object (an upstream, an entry host or a traffic shift) under a chart.
///
/// `State` and `Event` are enums whose values are indices into the chart's vocabulary.
/// Example: `chart_state<upstream_state, upstream_event> life(chart); life.fire(event);`
/// Thread safety: none.
template <class State, class Event>
class chart_state
{
public:
    /// Precondition: `definition` outlives this object.
    explicit chart_state(chart const& definition)
        : chart_(&definition), state_(static_cast<State>(definition.initial()))
    {
    }

    /// Applies an event; returns true when the state changed.
    bool fire(Event event)
    {
        auto const next = static_cast<State>(
            chart_->next(static_cast<std::size_t>(state_), static_cast<std::size_t>(event)));
        bool const changed = next != state_;
        state_ = next;
        return changed;
    }

    State state() const { return state_; }
    std::string const& name() const { return chart_->state_name(static_cast<std::size_t>(state_)); }

private:
    chart const* chart_;
    State state_;
};

} // namespace guavashed
