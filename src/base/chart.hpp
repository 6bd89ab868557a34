/// \file
/// Defines chart, a state chart read from a file and checked, and chart_state, one run of it.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavashed
{

/// What a chart may use; a chart that names anything else is refused.
struct chart_vocabulary
{
    std::vector<std::string> states;
    std::vector<std::string> events;
};

/// A checked chart: each state says for each event where it leads, or that it is ignored.
class chart
{
public:
    /// Reads and checks a chart. Unknown states or events, a state without a rule for an event and
    /// a state that cannot be reached are errors that name the file and the state. Thread safe.
    static result<chart> load(std::string const& path, chart_vocabulary const& vocabulary);
    /// As `load`, from text; `label` stands for the file in errors. Thread safe.
    static result<chart> parse(std::string const& text, std::string const& label,
                               chart_vocabulary const& vocabulary);

    /// Position of the state in the vocabulary that `state` leads to on `event`; the same state
    /// when the event is ignored. Precondition: both within the vocabulary. Thread safe.
    std::size_t next(std::size_t state, std::size_t event) const;
    /// Thread safe.
    std::size_t initial() const { return initial_; }
    /// Thread safe.
    std::string const& state_name(std::size_t state) const { return states_[state]; }

private:
    std::vector<std::string> states_;
    std::size_t events_ = 0;
    std::size_t initial_ = 0;
    std::vector<std::size_t> table_;
};

/// The current state of one upstream, entry host or shift under a chart.
///
/// `State` and `Event` are enums whose values are positions in the chart's vocabulary.
/// Example: `chart_state<upstream_state, upstream_event> life(chart); life.fire(event);`
/// Thread safety: none.
template <class State, class Event>
class chart_state
{
public:
    /// Precondition: `definition` outlives this.
    explicit chart_state(chart const& definition)
        : chart_(&definition), state_(static_cast<State>(definition.initial()))
    {
    }

    /// Moves on an event; true when the state changed.
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
