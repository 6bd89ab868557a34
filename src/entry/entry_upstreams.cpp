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
constexpr std::size_t max_others = 4;

} // namespace

bool entry_core::leaves(upstream_name const& name) const
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

void entry_core::spread_upstreams(instant now)
{
    moves_.clear();
    host_row const self = row(now);
    for (auto const& item : desks_)
    {
        auto const names = item->pool.renewing();
        if (names.empty())
            continue;
        if (phase_ == host_phase::leaving)
        {
            for (auto const& name : names)
                if (host_row const* home = next_home(name, item->name))
                    moves_[name] = home->host;
            continue;
        }
        auto const rows = item->pool.rows();
        std::size_t const draw = random_() % names.size();
        auto const moved =
            std::find_if(rows.begin(), rows.end(),
                         [&](upstream_pool::row const& r) { return r.name == names[draw]; });
        host_row const* relief = choose_relief(view_, self, item->name, moved->slots);
        // Several hosts may choose the same target at once: each moves an upstream only with a
        // probability of one half, so that the target is not flooded.
        if (relief != nullptr && random_() % 2 == 0)
            moves_[names[draw]] = relief->host;
    }
}

instant entry_core::lease_of(instant now, upstream_announcement const& said) const
{
    auto const held = acceptances_.find(said.name);
    if (held != acceptances_.end())
        for (auto const& item : held->second)
            if (item.number == said.acceptance)
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

announce_answer entry_core::on_announce(instant now, upstream_announcement said, bool redirected)
{
    announce_answer out;
    for (auto const& row : view_.rows())
        if (row.host != settings_.host && row.region == said.region &&
            out.others.size() < max_others)
            out.others.push_back(row.caller_endpoint);
    said.leaving = said.leaving || leaves(said.name);
    desk& item = *desks_[desk_of(said.service)];
    auto const renewing = item.pool.renewing();
    bool const mine = std::find(renewing.begin(), renewing.end(), said.name) != renewing.end();
    host_row const* home = nullptr;
    if (mine)
    {
        auto const move = moves_.find(said.name);
        home = move == moves_.end() || said.leaving ? nullptr : view_.find(move->second);
        if (home != nullptr)
        {
            item.pool.hand_over(said.name);
            out.lease_ms = static_cast<std::uint32_t>((send_limit + send_margin).count());
            moves_.erase(said.name);
            note(said.name.value(), "handed over to " + home->host.value(),
                 phase_ == host_phase::leaving ? "this host is leaving"
                                               : "balances slots between hosts");
        }
    }
    else if (!redirected || phase_ != host_phase::serving || said.region != settings_.region)
        home = choose_home(view_, said.name, said.service, said.region);
    bool const elsewhere = home != nullptr && home->host != settings_.host;
    if (elsewhere)
    {
        out.home = home->host;
        out.home_endpoint = home->caller_endpoint;
        return out;
    }
    if (said.region != settings_.region || (phase_ != host_phase::serving && !mine))
        return out;
    if (!mine)
        note(said.name.value(), "accepted as home",
             "slots " + std::to_string(said.slots.value()) + ", no work sent for " +
                 std::to_string(said.previous_lease_left.count()) +
                 " ms until the previous home's lease has ended");
    item.pool.announce(now, said, lease_of(now, said));
    out.acceptance = accept(now, said.name);
    out.accepted = true;
    out.home = settings_.host;
    out.lease_ms = static_cast<std::uint32_t>(upstream_lease.count());
    dispatch(now);
    return out;
}

} // namespace guavashed
