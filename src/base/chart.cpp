// Parses and validates state charts.
#include "base/chart.hpp"

#include "base/invariant.hpp"
#include "base/text_file.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <optional>

namespace guavashed
{
namespace json = boost::json;

namespace
{

/// Marks a table entry that the chart has not set.
constexpr std::size_t no_transition = static_cast<std::size_t>(-1);

struct chart_fault
{
    std::string location;
    std::string detail;
};

std::size_t position_of(std::vector<std::string> const& names, std::string_view name,
                        std::string const& location, char const* what)
{
    auto const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        throw chart_fault{location, std::string("unknown ") + what + " " + std::string(name)};
    return static_cast<std::size_t>(found - names.begin());
}

std::string text_at(json::object const& object, char const* name, std::string const& location)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        throw chart_fault{location, std::string("field ") + name + " is missing or not a string"};
    return std::string(value->get_string());
}

json::object const& object_of(json::value const& value, std::string const& location)
{
    if (!value.is_object())
        throw chart_fault{location, "must be an object"};
    return value.get_object();
}

json::array const& array_at(json::object const& object, char const* name,
                            std::string const& location)
{
    auto const* value = object.if_contains(name);
    if (value == nullptr || !value->is_array())
        throw chart_fault{location, std::string("field ") + name + " is missing or not an array"};
    return value->get_array();
}

std::vector<bool> reachable_states(std::vector<std::size_t> const& table, std::size_t initial,
                                   std::size_t states, std::size_t events)
{
    std::vector<bool> reached(states, false);
    std::vector<std::size_t> frontier{initial};
    reached[initial] = true;
    while (!frontier.empty())
    {
        std::size_t const state = frontier.back();
        frontier.pop_back();
        for (std::size_t event = 0; event < events; ++event)
        {
            std::size_t const next = table[state * events + event];
            if (!reached[next])
            {
                reached[next] = true;
                frontier.push_back(next);
            }
        }
    }
    return reached;
}

} // namespace

result<chart> chart::load(std::string const& path, chart_vocabulary const& vocabulary)
{
    auto const text = read_text_file(path);
    if (!text)
        return fail(error_code::invalid_chart, "read chart", path, "file cannot be opened");
    return parse(*text, path, vocabulary);
}

result<chart> chart::parse(std::string const& text, std::string const& label,
                           chart_vocabulary const& vocabulary)
{
    boost::system::error_code code;
    json::value const document = json::parse(text, code);
    if (code)
        return fail(error_code::invalid_chart, "parse chart", label, code.message());
    try
    {
        auto const& root = object_of(document, "chart");
        chart out;
        out.states_ = vocabulary.states;
        out.events_ = vocabulary.events.size();
        out.initial_ =
            position_of(vocabulary.states, text_at(root, "initial", "chart"), "initial", "state");
        out.table_.assign(vocabulary.states.size() * out.events_, no_transition);
        for (auto const& element : array_at(root, "states", "chart"))
        {
            auto const& object = object_of(element, "states");
            std::string const name = text_at(object, "name", "states");
            std::size_t const state = position_of(vocabulary.states, name, name, "state");
            auto const set_transition = [&](std::string const& event_name, std::size_t next)
            {
                auto& transition =
                    out.table_[state * out.events_ +
                               position_of(vocabulary.events, event_name, name, "event")];
                if (transition != no_transition)
                    throw chart_fault{name, "event " + event_name + " has two transitions"};
                transition = next;
            };
            for (auto const& transition : array_at(object, "on", name))
            {
                auto const& fields = object_of(transition, name);
                set_transition(
                    text_at(fields, "event", name),
                    position_of(vocabulary.states, text_at(fields, "to", name), name, "state"));
            }
            for (auto const& ignored : array_at(object, "ignore", name))
                set_transition(std::string(ignored.as_string()), state);
        }
        for (std::size_t i = 0; i < out.table_.size(); ++i)
            if (out.table_[i] == no_transition)
                throw chart_fault{vocabulary.states[i / out.events_],
                                  "has no transition for event " +
                                      vocabulary.events[i % out.events_]};
        auto const reached =
            reachable_states(out.table_, out.initial_, out.states_.size(), out.events_);
        for (std::size_t state = 0; state < reached.size(); ++state)
            if (!reached[state])
                throw chart_fault{out.states_[state], "is unreachable from the initial state"};
        return out;
    }
    catch (chart_fault const& problem)
    {
        return fail(error_code::invalid_chart, "check chart", label,
                    "state " + problem.location + ": " + problem.detail);
    }
    catch (std::exception const& problem)
    {
        return fail(error_code::invalid_chart, "check chart", label, problem.what());
    }
}

std::size_t chart::next(std::size_t state, std::size_t event) const
{
    GUAVASHED_INVARIANT(state < states_.size() && event < events_)
        << "state " << state << " event " << event;
    return table_[state * events_ + event];
}

} // namespace guavashed
