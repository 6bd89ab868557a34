/// \file
/// Defines quota_harness: entry hosts and a leader that exchange credit over a network with delays
/// and losses, in steps of 5 ms of simulated time.
#pragma once

#include "access/credit_account.hpp"
#include "access/credit_times.hpp"
#include "access/quota_ledger.hpp"
#include "support.hpp"

#include <algorithm>
#include <map>
#include <random>

namespace guavashed
{

inline access_config limits(std::vector<workspace_config> workspaces)
{
    access_config out;
    out.requires_key = true;
    out.workspaces = std::move(workspaces);
    return out;
}

inline workspace_config limited(std::string const& name, double rate, double burst)
{
    workspace_config out;
    out.name = workspace_name(name);
    out.rate_per_s = rate;
    out.burst = burst;
    return out;
}

class quota_harness
{
public:
    struct host
    {
        credit_account account;
        bool connected = true;
        std::uint64_t life = 1;
        std::uint64_t number = 0;
        std::map<std::uint64_t, instant> sent;
        instant last_sent;
        /// Requests that wait for credit, by the time at which they arrived.
        std::vector<std::pair<workspace_name, instant>> held;
    };
    struct tally
    {
        std::vector<instant> admitted;
        int refused = 0;
        int timed_out = 0;
        int asked = 0;
        double max_hold_ms = 0;
        double max_wait_ms = 0;
    };

    quota_harness(std::size_t count, access_config access, quota_settings settings,
                  std::uint64_t seed = 1)
        : config(std::move(access)), ledger(settings), hosts(count), random(seed)
    {
        ledger.configure(config, now);
        for (auto& item : hosts)
            item.account.configure(config);
    }

    /// The successor has seen the configuration but no report.
    void change_leader(quota_settings settings)
    {
        ledger = quota_ledger(settings);
        ledger.configure(config, now);
        ledger.begin_term(now);
    }
    void restart(host& at)
    {
        at = {credit_account(), true, at.life + 1, 0, {}, {}, {}};
        at.account.configure(config);
    }
    /// One request arrives; returns its decision, `unknown` when it is held for an answer.
    credit_decision request(host& at, workspace_name const& workspace)
    {
        auto const decision = decide(at, workspace, now, false);
        if (decision.verdict == credit_verdict::unknown)
        {
            ++results[workspace].asked;
            at.held.emplace_back(workspace, now);
        }
        return decision;
    }
    /// Advances the time by 5 ms.
    void step()
    {
        now += milliseconds(5);
        while (!network.empty() && network.begin()->first <= now)
        {
            auto const deliver = std::move(network.begin()->second);
            network.erase(network.begin());
            deliver();
        }
        for (std::size_t i = 0; i < hosts.size(); ++i)
            exchange(i);
    }
    /// Largest number of admissions of one workspace in any window.
    std::size_t most_in_window(workspace_name const& workspace, double window_s)
    {
        auto& times = results[workspace].admitted;
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last)
        {
            while (std::chrono::duration<double>(times[last] - times[first]).count() > window_s)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }
    double chance() { return std::uniform_real_distribution<>(0, 1)(random); }

    access_config config;
    quota_ledger ledger;
    std::vector<host> hosts;
    std::map<workspace_name, tally> results;
    instant now = at_ms(0);
    int min_delay_ms = 5;
    int max_delay_ms = 60;
    double loss = 0;
    /// Part of the admitted requests that are not run and refunded at once.
    double refunds = 0;
    std::mt19937_64 random;

private:
    void exchange(std::size_t index)
    {
        host& at = hosts[index];
        for (auto const waiting = std::exchange(at.held, {});
             auto const& [workspace, since] : waiting)
            if (decide(at, workspace, since, true).verdict == credit_verdict::unknown)
            {
                if (now - since < milliseconds(250))
                    at.held.emplace_back(workspace, since);
                else
                    ++results[workspace].timed_out;
            }
        auto const pause = now - at.last_sent;
        bool const is_due = (at.account.is_report_urgent() && pause >= milliseconds(50)) ||
                            (at.account.has_report(now) && pause >= credit_exchange_interval) ||
                            pause >= std::chrono::seconds(1);
        if (!is_due)
            return;
        at.last_sent = now;
        lease_request out{host_name(std::to_string(index)), incarnation(at.life), ++at.number,
                          at.account.take_report(now)};
        at.sent[out.number] = now;
        send(index,
             [this, index, out]
             {
                 auto const lines = ledger.exchange(out, now);
                 send(index,
                      [this, index, out, lines]
                      {
                          host& to = hosts[index];
                          if (to.life == out.life.value())
                              to.account.apply(lines, to.sent.at(out.number), now);
                      });
             });
    }
    template <class Deliver>
    void send(std::size_t index, Deliver deliver)
    {
        if (!hosts[index].connected || chance() < loss)
            return;
        auto const delay = std::uniform_int_distribution<>(min_delay_ms, max_delay_ms)(random);
        network.emplace(now + milliseconds(delay), std::move(deliver));
    }
    credit_decision decide(host& at, workspace_name const& workspace, instant since, bool is_retry)
    {
        auto const decision = at.account.admit(workspace, now, is_retry);
        tally& result = results[workspace];
        double const held = std::chrono::duration<double, std::milli>(now - since).count();
        if (decision.verdict == credit_verdict::admitted)
        {
            result.max_hold_ms = std::max(result.max_hold_ms, held);
            if (chance() < refunds)
                at.account.refund(workspace, now);
            else
                result.admitted.push_back(now);
        }
        result.refused += decision.verdict == credit_verdict::over_limit;
        if (decision.verdict == credit_verdict::over_limit)
            result.max_wait_ms = std::max(result.max_wait_ms, decision.wait_ms);
        return decision;
    }

    std::multimap<instant, std::function<void()>> network;
};

} // namespace guavashed
