// An entry host's sessions with control hosts: the source of its view, and its reports.
#include "base/codec.hpp"
#include "base/log.hpp"
#include "fleet/gateway_node.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

/// Delay of the report of a new view to control hosts other than the source. Below the
/// delay after which the leader pushes what the source has not delivered.
constexpr milliseconds report_interval{300};
/// Interval of unchanged reports; sessions are kept alive by pings.
constexpr milliseconds repeat_interval{2000};
/// A control host that delivered a change before the source did is kept as source this long.
constexpr std::chrono::seconds min_source_hold{10};
/// A source that has been silent for longer has missed a ping (`fleet_identity`) and may be down or
/// frozen. Another one is taken well before the session times out, since a change that the source
/// doesn't push arrives later, or never if the group then fails.
constexpr milliseconds max_source_silence{700};

} // namespace

void gateway_node::add_link(endpoint_text const& control, instant connect_due)
{
    control_link& added = control_links_[control];
    added.link = std::make_unique<frame_client>(event_loop_, *this,
                                                fleet_identity(settings_.name.value()), control);
    added.connect_due = connect_due;
}

void gateway_node::connect_due_links(instant now)
{
    for (auto& [endpoint, control] : control_links_)
        if (control.connect_due != instant() && now >= control.connect_due)
        {
            control.connect_due = instant();
            control.link->start();
        }
}

void gateway_node::update_control_links(instant now)
{
    std::vector<endpoint_text> current;
    control_statuses open;
    for (auto const& [endpoint, control] : control_links_)
    {
        current.push_back(endpoint);
        if (control.session != nullptr)
            open[endpoint] = control.status;
    }
    auto const selected = select_controls(settings_.seeds, current, open);
    std::string added;
    std::size_t dropped = 0;
    for (auto const& control : selected)
    {
        if (control_links_.contains(control))
            continue;
        add_link(control, connect_time(now, is_served(now), random_));
        added += (added.empty() ? "" : ",") + control.value();
    }
    for (auto at = control_links_.begin(); at != control_links_.end();)
    {
        if (selected.contains(at->first))
        {
            ++at;
            continue;
        }
        // Closing its session calls `on_close`, which must not find the link.
        auto const gone = control_links_.extract(at++);
        gone.mapped().link->stop();
        ++dropped;
    }
    connect_due_links(now);
    if (!added.empty() || dropped > 0)
        log_change(log_level::info, "control_links",
                   "added=" + added + " dropped=" + std::to_string(dropped) +
                       " links=" + std::to_string(control_links_.size()));
}

void gateway_node::on_control_status(frame_session const& session, control_status status)
{
    instant const now = instant::clock::now();
    for (auto& [endpoint, control] : control_links_)
    {
        if (control.session != &session)
            continue;
        if (control.status && !control.status->has_leader && status.has_leader)
            control.preferred_from = now + leader_known_within;
        control.status = std::move(status);
        break;
    }
    update_control_links(now);
    select_source(now);
    report_when_due(now);
}

std::size_t gateway_node::open_sessions() const
{
    return static_cast<std::size_t>(std::count_if(control_links_.begin(), control_links_.end(),
                                                  [](auto const& item)
                                                  { return item.second.session != nullptr; }));
}

bool gateway_node::is_heard(control_link const& control, instant now)
{
    return control.session != nullptr &&
           now < control.session->last_received() + max_source_silence;
}

bool gateway_node::is_served(instant now) const
{
    auto const at = control_links_.find(source_);
    return view_index_ != 0 && at != control_links_.end() && is_heard(at->second, now) &&
           (!at->second.status || at->second.status->has_leader);
}

void gateway_node::select_source(instant now)
{
    std::vector<source_candidate> candidates;
    for (auto const& [endpoint, control] : control_links_)
        candidates.push_back({endpoint, control.session != nullptr, is_heard(control, now),
                              !control.status || control.status->has_leader, control.preferred_from,
                              control.link->round_trip(), control.source_since});
    if (auto const next =
            choose_source(candidates, {source_, view_index_ != 0, source_until_}, now))
        switch_source(next->control, now + initial_view_timeout, next->reason);
}

void gateway_node::switch_source(endpoint_text const& control, instant until,
                                 std::string const& reason)
{
    log_change(log_level::info, "source",
               "control=" + control.value() + " before=" + source_.value() + " reason=" + reason +
                   " view=" + std::to_string(view_index_));
    source_ = control;
    source_until_ = until;
    control_links_.at(control).source_since = instant::clock::now();
}

void gateway_node::note_newer_view(frame_session const& session, instant now)
{
    for (auto const& [endpoint, control] : control_links_)
        if (control.session == &session && endpoint != source_)
            return switch_source(endpoint, now + min_source_hold, "brought_more");
}

void gateway_node::report_when_due(instant now)
{
    for (auto& [endpoint, control] : control_links_)
    {
        if (control.session == nullptr)
            continue;
        bool const is_source = endpoint == source_;
        bool const view_changed = control.reported_view != view_index_;
        bool const changed =
            control.reported_ready != is_ready() || control.reported_source != is_source;
        milliseconds const wait = view_changed ? report_interval : repeat_interval;
        if (changed || (is_source && view_changed) || now >= control.reported_at + wait)
            report_to(endpoint, control, now);
    }
}

void gateway_node::report_to(endpoint_text const& endpoint, control_link& control, instant now)
{
    entry_report out;
    out.host = settings_.name;
    out.caller_endpoint = settings_.caller_listen;
    out.region = settings_.region;
    out.domain = settings_.domain;
    out.ready = is_ready();
    out.view_index = view_index_;
    out.is_source = endpoint == source_;
    control.reported_view = out.view_index;
    control.reported_ready = out.ready;
    control.reported_source = out.is_source;
    control.reported_at = now;
    control.link->send(frame_type::entry_report, encode(out));
}

void gateway_node::on_open(frame_session_ptr const& session)
{
    instant const now = instant::clock::now();
    for (auto& [endpoint, control] : control_links_)
    {
        if (!control.link->owns(*session))
            continue;
        control.session = session.get();
        log_change(log_level::info, "control_connected",
                   "peer=" + session->peer() + " sessions=" + std::to_string(open_sessions()));
        control.status.reset();
        control.preferred_from = now + leader_known_within;
        select_source(now);
        report_to(endpoint, control, now);
        lease_.note_session_opened(now);
        drive_lease(now);
    }
}

void gateway_node::on_close(frame_session_ptr const& session)
{
    for (auto& [endpoint, control] : control_links_)
        if (control.session == session.get())
        {
            control.session = nullptr;
            control.status.reset();
        }
    log_change(log_level::warning, "control_lost",
               "peer=" + session->peer() + " sessions=" + std::to_string(open_sessions()) +
                   " view=" + std::to_string(view_index_));
    select_source(instant::clock::now());
    report_when_due(instant::clock::now());
}

} // namespace guavashed
