// Upstream membership in entry_core: announcements, leases, and moves of upstreams to other hosts.
#include "entry/choose_home.hpp"
#include "entry/entry_core.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr milliseconds upstream_lease{2000};
/// Number of recent acceptances that an upstream may quote. Upstreams renew five times per lease.
constexpr std::size_t max_acceptances = 16;
/// Transit time to an upstream, added to the time within which work is sent.
constexpr milliseconds send_margin{100};
/// Upper limit on the other entry hosts listed in an answer to an announcement.
constexpr std::size_t max_alternatives = 4;

} // namespace

bool entry_core::is_leaving(upstream_name const& name) const
{
    auto const& leaving = state_.config.leaving_upstreams;
    return std::find(leaving.begin(), leaving.end(), name) != leaving.end();
}

host_row const* entry_core::next_home(upstream_name const& name, service_name const& service) const
{
    host_row const* home = choose_home(view_, name, service, settings_.region);
    if (home != nullptr && home->host != settings_.host)
        return home;
    for (auto const& row : view_.rows())
        if (row.host != settings_.host && row.region == settings_.region &&
            row.phase == host_phase::serving)
            return &row;
    return nullptr;
}

void entry_core::plan_upstream_moves(instant now)
{
    planned_moves_.clear();
    host_row const self = row(now);
    for (auto const& item : services_)
    {
        auto const names = item->pool.renewing();
        if (names.empty())
            continue;
        if (phase_ == host_phase::leaving)
        {
            for (auto const& name : names)
                if (host_row const* home = next_home(name, item->name))
                    planned_moves_[name] = home->host;
            continue;
        }
        auto const rows = item->pool.rows();
        std::size_t const draw = random_() % names.size();
        auto const moved =
            std::find_if(rows.begin(), rows.end(),
                         [&](upstream_pool::row const& r) { return r.name == names[draw]; });
        host_row const* target = choose_rebalance_target(view_, self, item->name, moved->slots);
        // Several hosts may choose the same target at once: each moves an upstream only with a
        // probability of one half, so that the target is not flooded.
        if (target != nullptr && random_() % 2 == 0)
            planned_moves_[names[draw]] = target->host;
    }
}

instant entry_core::lease_end(instant now, upstream_announcement const& announcement) const
{
    auto const held = acceptances_.find(announcement.name);
    if (held != acceptances_.end())
        for (auto const& item : held->second)
            if (item.number == announcement.acceptance)
                return item.sent + upstream_lease;
    return now;
}

std::uint64_t entry_core::accept(instant now, upstream_name const& name)
{
    auto& held = acceptances_[name];
    held.push_back({next_attempt_++, now});
    if (held.size() > max_acceptances)
        held.pop_front();
    return held.back().number;
}

announce_answer entry_core::on_announce(instant now, upstream_announcement announcement,
                                        bool redirected)
{
    announce_answer out;
    for (auto const& row : view_.rows())
        if (row.host != settings_.host && row.region == announcement.region &&
            out.others.size() < max_alternatives)
            out.others.push_back(row.caller_endpoint);
    announcement.leaving = announcement.leaving || is_leaving(announcement.name);
    service_state& item = *services_[service_index_of(announcement.service)];
    auto const renewing = item.pool.renewing();
    bool const homed_here =
        std::find(renewing.begin(), renewing.end(), announcement.name) != renewing.end();
    host_row const* home = nullptr;
    if (homed_here)
    {
        auto const move = planned_moves_.find(announcement.name);
        home = move == planned_moves_.end() || announcement.leaving ? nullptr
                                                                    : view_.find(move->second);
        if (home != nullptr)
        {
            item.pool.hand_over(announcement.name);
            out.lease_ms = static_cast<std::uint32_t>((send_limit + send_margin).count());
            planned_moves_.erase(announcement.name);
            note(announcement.name.value(), "handed over to " + home->host.value(),
                 phase_ == host_phase::leaving ? "this host is leaving"
                                               : "balances slots between hosts");
        }
    }
    else if (!redirected || phase_ != host_phase::serving ||
             announcement.region != settings_.region)
        home = choose_home(view_, announcement.name, announcement.service, announcement.region);
    bool const homed_elsewhere = home != nullptr && home->host != settings_.host;
    if (homed_elsewhere)
    {
        out.home = home->host;
        out.home_endpoint = home->caller_endpoint;
        return out;
    }
    if (announcement.region != settings_.region || (phase_ != host_phase::serving && !homed_here))
        return out;
    if (!homed_here)
        note(announcement.name.value(), "accepted as home",
             "slots " + std::to_string(announcement.slots.value()) + ", no work sent for " +
                 std::to_string(announcement.previous_lease_left.count()) +
                 " ms until the previous home's lease has ended");
    item.pool.announce(now, announcement, lease_end(now, announcement));
    out.acceptance = accept(now, announcement.name);
    out.accepted = true;
    out.home = settings_.host;
    out.lease_ms = static_cast<std::uint32_t>(upstream_lease.count());
    dispatch(now);
    return out;
}

} // namespace guavashed
