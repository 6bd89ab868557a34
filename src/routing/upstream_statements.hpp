/// \file
/// Defines upstream_statements, what upstreams have said of themselves in their answers.
#pragma once

#include "base/ids.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <map>

namespace guavashed
{

/// What one incarnation of an upstream has said to this host.
struct upstream_statement
{
    /// It leaves, and is to get no further requests.
    bool is_leaving = false;
    /// It wants no requests from this host until then.
    instant paused_until;
};

/// When the pause ends that an upstream asked for at `now`, bounded against a faulty upstream and
/// spread, since the hosts that it refused in the same moment would all come back together.
/// `unit_random` is uniform in [0, 1). Thread safe.
instant pause_end(instant now, milliseconds asked, double unit_random);

/// Statements by incarnation. They hold whatever the fleet view says, and outlive a removal from
/// the view for a while: an upstream that was removed for missed announcements may come back. The
/// number of statements is bounded. Thread safety: none; owned by the entry's event loop.
class upstream_statements
{
public:
    /// `stated_ms` is the Unix time of the answer, on this host's clock.
    void note_leaving(upstream_name const& id, std::int64_t born_ms, instant now,
                      std::int64_t stated_ms = 0);
    /// A pause never ends before one that the incarnation asked for earlier.
    void note_pause(upstream_name const& id, std::int64_t born_ms, instant until, instant now,
                    std::int64_t stated_ms = 0);

    /// What the incarnation has said; nothing stated by default.
    upstream_statement find(upstream_name const& id, std::int64_t born_ms) const;

    /// Reports that the view holds the incarnation. Statements of earlier ones are dropped, except
    /// those made since it was born: answers don't name the incarnation, and the view learns of a
    /// new one late.
    void note_registered(upstream_name const& id, std::int64_t born_ms);
    /// Reports that the view doesn't hold the incarnation, or no longer.
    void note_removed(upstream_name const& id, std::int64_t born_ms, instant now);
    /// Drops statements of upstreams that were removed long ago.
    void trim(instant now);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::int64_t born_ms = 0;
        upstream_statement statement = {};
        instant noted_at = {};
        /// Unix time of the latest statement, in milliseconds.
        std::int64_t stated_ms = 0;
        instant drop_at = instant::max();
    };
    entry* entry_of(upstream_name const& id, std::int64_t born_ms, instant now,
                    std::int64_t stated_ms);

    std::map<upstream_name, entry> entries_;
};

} // namespace guavashed
