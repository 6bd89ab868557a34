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
/// For a source to deliver the first view; that takes a few hundred milliseconds on the slowest
/// links.
constexpr milliseconds initial_view_timeout{1500};
/// A control host that delivered a change before the source did is kept as source this long.
constexpr std::chrono::seconds min_source_hold{10};
/// A source is replaced by a control host whose round trip is shorter by this factor: round trips
/// within a failure domain, a region and between regions differ by more.
constexpr int nearer_factor = 2;
/// A source that has been silent for longer has missed a ping (`fleet_identity`) and may be down or
/// frozen. Another one is taken well before the session times out, since a change that the source
/// doesn't push arrives later, or never if the group then fails.
constexpr milliseconds max_source_silence{700};
/// Most control hosts of a fleet (docs/CAPACITY.md).
constexpr std::size_t max_controls = 18;

} // namespace

void gateway_node::link_to(endpoint_text const& control)
{
    if (control_links_.contains(control) || control_links_.size() >= max_controls)
        return;
    control_link& added = control_links_[control];
    added.link = std::make_unique<frame_client>(event_loop_, *this,
                                                fleet_identity(settings_.name.value()), control);
    added.link->start();
}

void gateway_node::update_control_links(std::vector<endpoint_text> const& controls)
{
    if (controls.empty())
        return;
    for (auto const& control : controls)
        link_to(control);
    std::erase_if(control_links_,
                  [&](auto& item)
                  {
                      bool const listed =
                          std::find(controls.begin(), controls.end(), item.first) != controls.end();
                      bool const seed = std::find(settings_.seeds.begin(), settings_.seeds.end(),
                                                  item.first) != settings_.seeds.end();
                      if (listed || seed)
                          return false;
                      item.second.link->stop();
                      return true;
                  });
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

void gateway_node::choose_source(instant now)
{
    auto const current = control_links_.find(source_);
    bool const open = current != control_links_.end() && current->second.session != nullptr;
    bool const heard = open && is_heard(current->second, now);
    // A source that delivers no first view may itself be partitioned from the group.
    bool const view_timed_out = view_index_ == 0 && now >= source_until_;
    bool const settled = view_index_ == 0 || now < source_until_;
    if (heard && settled && !view_timed_out)
        return;
    auto nearest = control_links_.end();
    for (auto at = control_links_.begin(); at != control_links_.end(); ++at)
    {
        if (!is_heard(at->second, now) || (view_timed_out && at == current))
            continue;
        if (nearest == control_links_.end() ||
            at->second.link->round_trip() < nearest->second.link->round_trip())
            nearest = at;
    }
    if (nearest == control_links_.end() || nearest == current)
        return;
    bool const nearer = !heard || nearest->second.link->round_trip() * nearer_factor <
                                      current->second.link->round_trip();
    if (view_timed_out || nearer)
        switch_source(nearest->first, now + initial_view_timeout,
                      open && !heard ? "silent" : "nearest");
}

void gateway_node::switch_source(endpoint_text const& control, instant until, char const* reason)
{
    log_change(log_level::info, "source",
               "control=" + control.value() + " before=" + source_.value() + " reason=" + reason +
                   " view=" + std::to_string(view_index_));
    source_ = control;
    source_until_ = until;
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
        choose_source(now);
        report_to(endpoint, control, now);
        lease_.note_session_opened(now);
        drive_lease(now);
    }
}

void gateway_node::on_close(frame_session_ptr const& session)
{
    for (auto& [endpoint, control] : control_links_)
        if (control.session == session.get())
            control.session = nullptr;
    log_change(log_level::warning, "control_lost",
               "peer=" + session->peer() + " sessions=" + std::to_string(open_sessions()) +
                   " view=" + std::to_string(view_index_));
    choose_source(instant::clock::now());
    report_when_due(instant::clock::now());
}

} // namespace guavashed
