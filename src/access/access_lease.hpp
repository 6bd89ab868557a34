/// \file
/// Defines access_lease, by which an entry host knows until when it may accept callers' keys, and
/// when and where it asks the leader of the control hosts again.
#pragma once

#include "access/lease_messages.hpp"
#include "base/instant.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavashed
{

struct key_lease_settings
{
    /// A key that was removed must not be accepted later than `revoke` after the acknowledgement
    /// of its removal. False: keys are valid as long as the host's view contains them.
    bool strict = false;
    milliseconds revoke{0};
};

/// What an entry host needs from the next exchange with the leader.
struct lease_need
{
    /// The configuration in force needs leases: callers need keys, and they are revoked strictly or
    /// some workspace has a limit.
    bool active = false;
    /// Uses of limited workspaces are to be reported.
    bool has_uses = false;
    /// A caller waits for credit.
    bool urgent = false;
    /// Entry hosts that share the leader.
    std::size_t entry_hosts = 1;
};

struct lease_counters
{
    std::uint64_t requests = 0;
    std::uint64_t grants = 0;
    /// Grants that nobody waited for any more: of another process, late, or repeated.
    std::uint64_t unexpected_grants = 0;
    std::uint64_t losses = 0;
};

/// Decides without I/O: the time goes in, and the caller sends the requests. All times are of the
/// boot clock, so a host that was suspended finds its lease expired. Thread safety: none; owned by
/// the entry's event loop.
class access_lease
{
public:
    access_lease(key_lease_settings settings, host_name host, incarnation life);

    /// Time of the next request; `instant::max()` while the host needs none.
    instant next_request(lease_need const& need) const;
    /// Selects the control host that the next request goes to: the leader named by the last grant,
    /// otherwise the source of the view, and others in turn while requests stay unanswered. Empty
    /// when no session is open. `open` has the control hosts with an open session.
    endpoint_text select(std::vector<endpoint_text> const& open, endpoint_text const& source,
                         instant now);
    /// Returns the header of a request that is sent now to the control host selected last; the
    /// caller adds the uses.
    lease_request begin_request(instant now);
    /// A session with a control host was opened: asks without delay where the lease is not fresh.
    void note_session_opened(instant now);
    /// Takes a grant. Returns when the request that it answers was sent, empty when it is not the
    /// newest answer to a request of this process; its credit lines must then be ignored.
    std::optional<instant> accept(lease_grant const& grant, instant now);
    /// The view contains all changes up to `view_index`.
    void note_view(std::uint64_t view_index);
    /// Logs when the lease was granted for the first time, lost or regained. Called at intervals
    /// and after each grant while leases are needed.
    void log_changes(instant now);

    /// Whether a request that arrives now may be accepted by its key. True while keys are not
    /// revoked strictly.
    bool keys_usable(instant now) const;
    /// Keys are usable until then; `instant()` before the first grant. A safe bound already: the
    /// margin for the drift of clocks is subtracted.
    instant usable_until() const { return usable_until_; }
    /// Whether a grant was received that the view does not satisfy yet.
    bool waits_for_view(instant now) const;
    /// Predicted time until the next grant, in milliseconds.
    double expected_grant_ms(instant now) const;
    /// The leader named by the last grant; empty while none is known.
    endpoint_text const& leader() const { return leader_; }
    lease_counters const& counters() const { return counters_; }

private:
    struct sent_request
    {
        std::uint64_t number = 0;
        instant sent_at;
    };
    /// A lease that takes effect once the view includes the change at `access_index`.
    struct pending_lease
    {
        std::uint64_t access_index = 0;
        instant usable_until;
    };
    bool is_unanswered_since(milliseconds time, instant now) const;
    void extend(lease_grant const& grant, instant sent_at, instant now);

    key_lease_settings settings_;
    host_name host_;
    incarnation life_;
    std::uint64_t last_number_ = 0;
    std::uint64_t view_index_ = 0;
    /// Oldest first.
    std::deque<sent_request> unanswered_;
    std::deque<pending_lease> pending_;
    instant usable_until_;
    instant last_sent_;
    bool session_opened_ = false;
    /// The oldest request that the current target has not answered; empty when there is none.
    std::optional<instant> waiting_since_;
    /// The oldest request that no control host has answered, or the loss of the last session.
    std::optional<instant> outage_since_;
    endpoint_text target_;
    endpoint_text leader_;
    /// Smoothed time from a request to its grant.
    double round_trip_ms_;
    bool was_granted_ = false;
    bool was_usable_ = false;
    lease_counters counters_;
};

/// Shortest intervals between requests of one host, by the number of entry hosts that share the
/// leader: without uses to report, with them, and while a caller waits. Thread safe.
milliseconds idle_lease_interval(std::size_t entry_hosts);
milliseconds report_lease_interval(std::size_t entry_hosts);
milliseconds urgent_lease_interval(std::size_t entry_hosts);

} // namespace guavashed
