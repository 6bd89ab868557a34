/// \file
/// Defines the keys of the workspaces of a randomised run, and the checks of what ran with them.
#pragma once

#include "platform_fleet.hpp"

#include <algorithm>
#include <random>

namespace fleet_test
{

/// Three workspaces with two keys each, of which "acme" has a limit; one of three seeds has none.
/// Bounds are those of requirements 5 and 6 of docs/design/contended-load.md. Thread safety: none.
class workspace_keys
{
public:
    // The seed is inverted, since other draws of a run start from the seed itself.
    explicit workspace_keys(std::uint64_t seed) : random_(~seed), active_(random_() % 3 != 2) {}
    std::string settings() const
    {
        return active_ ? ",strict_revoke=true,revoke_ms=5000,quota_window_s=5" + limits : "";
    }
    /// Replaces the oldest key by a new one in one of six steps on average; returns whether it did.
    bool step()
    {
        bool const is_due = active_ && random_() % 6 == 0;
        first_ += is_due ? 1 : 0;
        submitted_.resize(first_ + key_count, instant::clock::now());
        return is_due;
    }
    /// The table `tenants` of the configuration, as JSON; empty without workspaces.
    std::string table() const
    {
        std::string out;
        for (std::size_t i = first_; active_ && i < first_ + names.size(); ++i)
            out += (out.empty() ? "{\"" : ",\"") + names[i % names.size()] +
                   (i % names.size() == 0 ? "\":{\"rate_per_s\":8,\"burst\":8," : "\":{") +
                   R"("api_keys":["key-)" + std::to_string(i) + R"(","key-)" +
                   std::to_string(i + names.size()) + R"("]})";
        return active_ ? out + "}" : "";
    }
    /// Notes that a configuration with `table()` was acknowledged just now.
    void note_acknowledged() { removed_.resize(first_, instant::clock::now()); }
    /// For callers: the keys in the table, four removed ones, and one that is added next.
    std::vector<std::string> offered() const
    {
        std::vector<std::string> out;
        for (auto i = std::max<std::size_t>(first_, 4) - 4; active_ && i <= first_ + key_count; ++i)
            out.push_back("key-" + std::to_string(i));
        return out;
    }
    /// Appends one line for each violation.
    void check(std::map<std::string, standin::platform_call> const& calls,
               std::vector<standin::platform_upstream_record> const& records,
               std::vector<std::string>& violations) const
    {
        // When requests of "acme" were sent, and arrived at an upstream that ran them.
        std::map<std::string, std::pair<instant, instant>> limited;
        for (auto const& record : records)
            for (auto const& arrival : record.arrivals)
            {
                auto const call = calls.find(arrival.id);
                if (!active_ || call == calls.end() || !arrival.ran)
                    continue;
                auto const sent_at = call->second.at;
                auto const& key = call->second.key;
                std::string const what = arrival.id + " to " + call->second.entry + " with " + key;
                std::size_t const number = std::stoul(key.substr(4));
                std::string const& name = names[number % names.size()];
                if (number >= submitted_.size() || arrival.at < submitted_[number])
                    violations.push_back(what + " ran before a configuration had the key");
                if (arrival.access_fields != std::vector{"X-Guavashed-Tenant: " + name})
                    violations.push_back(what + " ran without just the name " + name);
                if (number < removed_.size() && sent_at > removed_[number] + window)
                    violations.push_back(what + " ran, sent too long after the key's removal");
                if (name == names[0])
                    limited.try_emplace(arrival.id, sent_at, arrival.at);
            }
        // Credit is given between both times. Links and suspended hosts may shift either alone.
        for (auto const& [id, start] : limited)
            if (auto const count = std::ranges::count_if(
                    limited, [from = start.first](auto const& run)
                    { return run.second.first >= from && run.second.second < from + window; });
                double(count) > allowed_in_window)
                violations.push_back(std::to_string(count) + " of acme ran in 5 s from " + id);
    }

private:
    using instant = guavashed::instant;
    static constexpr std::size_t key_count = 6;
    /// Both `revoke_ms` and `quota_window_s`.
    static constexpr guavashed::milliseconds window{5000};
    /// (rate x window + burst) x (1 + overshoot) + slack; callers offer more.
    static constexpr double allowed_in_window = (8 * 5 + 8) * 1.1 + 20;
    inline static std::string const limits = ",quota_overshoot=0.1,quota_slack=20";
    inline static std::vector<std::string> const names{"acme", "birch", "cedar"};

    std::mt19937_64 random_;
    bool active_;
    /// Oldest key in the table. Keys are numbered in the order in which they are added.
    std::size_t first_ = 0;
    /// By key: before a configuration with it was sent; when one without it was acknowledged.
    std::vector<instant> submitted_ = std::vector<instant>(key_count, instant::clock::now());
    std::vector<instant> removed_;
};

} // namespace fleet_test
