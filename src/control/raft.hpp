/// \file
/// Defines raft, the consensus core of one replica of the log. It does no I/O and reads no clock:
/// messages and the time go in, batches of work come out.
///
/// Follows "In Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout 2014) and
/// Ongaro's thesis, chapters 4 (one membership change at a time), 6 (leases) and 9 (pre-vote).
#pragma once

#include "base/error.hpp"
#include "base/instant.hpp"
#include "control/raft_messages.hpp"
#include "control/raft_role.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace guavashed
{

struct raft_settings
{
    host_name self;
    disk_id disk;
    milliseconds heartbeat{50};
    /// Minimum election timeout. Also the time for which an accepted append bars a follower from
    /// voting, on which the leader's lease rests.
    milliseconds election{400};
    std::uint64_t seed = 1;
    std::size_t max_batch_entries = 256;
    std::size_t max_batch_bytes = 1024 * 1024;
};

/// Persistent state of a replica, as read from its disk at start.
struct raft_restored
{
    raft_vote vote;
    raft_snapshot snapshot;
    std::vector<raft_entry> entries;
};

/// Work for the driver. The order is: install the snapshot, truncate, append, write the vote, sync;
/// then call `on_persisted`; then send the messages and apply the committed entries.
struct raft_batch
{
    std::optional<raft_snapshot> install;
    std::optional<log_index> truncate_from;
    std::vector<raft_entry> append;
    std::optional<raft_vote> vote;
    std::vector<raft_message> messages;
    std::vector<raft_entry> committed;

    bool needs_sync() const { return install || truncate_from || !append.empty() || vote; }
    bool empty() const { return !needs_sync() && messages.empty() && committed.empty(); }
};

/// Thread safety: none; used only on the event loop of its owner.
class raft
{
public:
    raft(raft_settings settings, raft_restored restored, instant now);

    /// Handles a message from another replica. A message addressed to another host or disk is
    /// ignored.
    void step(instant now, raft_message const& message);
    /// Handles timeouts: heartbeats and loss of the quorum on a leader, elections on the others.
    void tick(instant now);
    /// Appends a command to the log and returns its index. Error: `not_leader`, with the known
    /// leader as the peer; also while leadership is being transferred.
    result<log_index> propose(std::string command);
    /// Appends a membership that adds or removes at most one voter; it takes effect at once, before
    /// it is committed. Errors: `not_leader`; `conflict` when more voters would change, an earlier
    /// change is not committed, or this leader has not committed an entry of its own term.
    result<log_index> propose_membership(raft_membership membership);
    /// Starts a leadership transfer to the responsive voter with the highest match index. False
    /// when this replica does not lead or no other voter is responsive.
    bool hand_over(instant now);

    /// Returns the next batch, or an empty one while the last is not persisted. Its messages may be
    /// sent only after the sync.
    raft_batch take_batch();
    /// Reports that the batch taken last is on disk, so that its entries count towards the commit.
    /// Precondition: a batch was taken and not yet reported.
    void on_persisted(instant now);
    /// Bootstraps the group from an initial snapshot that names all voters. Precondition: the log
    /// is empty.
    void found(raft_snapshot snapshot);
    /// Returns the persisted entries after `index`, which a compaction at `index` must keep.
    std::vector<raft_entry> persisted_after(log_index index) const;
    /// Drops the log up to the snapshot's index. Precondition: that index is applied and not below
    /// the current snapshot's.
    void on_snapshot(raft_snapshot snapshot);

    raft_role_state role() const { return role_.state(); }
    bool is_leader() const { return role() == raft_role_state::leader; }
    /// True while no other replica can have become leader, so that reads need no round trip to a
    /// quorum.
    bool lease_holds(instant now) const;
    /// Time until which this replica's log is known to be that of the only leader: the end of the
    /// leader's lease, its own or, on a follower, as received with the last append after which no
    /// committed entry was missing here.
    instant fresh_until() const;
    /// Time at which the lease ends unless further replies extend it. Meaningful on a leader only.
    instant lease_end() const;
    /// True on a leader once the first entry of its term is committed, and with it all entries of
    /// earlier terms.
    bool caught_up() const;
    host_name const& leader() const { return leader_; }
    log_term term() const { return vote_.term; }
    log_index commit_index() const { return commit_; }
    log_index last_index() const;
    log_index first_index() const { return log_index(snapshot_.index.value() + 1); }
    raft_membership const& membership() const { return membership_; }
    /// True when this host with this disk is a voter of the current membership.
    bool is_voter() const;
    /// True when the current membership is committed.
    bool membership_settled() const { return membership_index_ <= commit_; }
    /// Highest index that the member is known to have persisted, 0 if unknown; leader only.
    log_index match_index_of(host_name const& host) const;
    /// Time of the member's last append reply, or of the election if there is none yet; the epoch
    /// for a member added since that has not replied. Leader only.
    instant last_reply_from(host_name const& host) const;

private:
    struct progress
    {
        log_index next;
        log_index match;
        instant last_reply;
        /// Send time, on the leader's clock, of the newest append that the peer has answered. Only
        /// the send time is safe as the start of a lease: the peer bars votes from a later moment.
        instant lease_start;
        instant snapshot_retry_due;
        /// True until the peer has confirmed a matching entry; `next` then advances only on
        /// replies, instead of with each append sent.
        bool probing = true;
    };

    raft_entry const& entry_at(log_index index) const;
    log_term term_at(log_index index) const;
    log_index append_entry(entry_kind kind, std::string payload);
    void adopt_membership(raft_membership membership, log_index at);
    void reload_membership();
    raft_message message_to(raft_member const& to, raft_message_kind kind) const;
    void become_follower(instant now, log_term term, host_name leader);
    void start_pre_vote(instant now);
    void start_vote(instant now);
    void become_leader(instant now);
    void reset_election(instant now);
    bool log_is_up_to_date(log_index index, log_term term) const;
    void request_votes(raft_message_kind kind, log_term term);
    void broadcast(instant now);
    void send_append(instant now, raft_member const& to);
    void send_snapshot(instant now, raft_member const& to, progress& peer);
    void advance_commit();
    void commit_to(log_index index);
    void on_vote_request(instant now, raft_message const& message);
    void on_vote_reply(instant now, raft_message const& message);
    void on_append(instant now, raft_message const& message);
    void on_append_reply(instant now, raft_message const& message);
    void on_snapshot_message(instant now, raft_message const& message);
    void install(raft_snapshot snapshot);
    bool accept_entries(raft_message const& message);
    bool known_sender(raft_message const& message) const;

    raft_settings settings_;
    raft_role role_;
    raft_vote vote_;
    raft_snapshot snapshot_;
    std::deque<raft_entry> entries_;
    raft_membership membership_;
    log_index membership_index_;
    log_index commit_;
    log_index applied_;
    /// Last entry on disk.
    log_index stable_;
    /// First entry of this leader's term.
    log_index leader_start_;
    host_name leader_;
    instant election_due_;
    /// No vote is granted before this time, since a leader may still hold a lease.
    instant vote_barrier_;
    instant fresh_until_;
    instant heartbeat_due_;
    std::map<host_name, bool> votes_;
    std::map<host_name, progress> peers_;
    std::mt19937_64 random_;
    bool handing_over_ = false;
    /// Set by `timeout_now`: the vote requests ask the voters to disregard the old leader's lease.
    bool force_election_ = false;
    instant hand_over_deadline_;

    raft_batch pending_;
    /// A batch was taken and is not yet persisted. `in_flight_last_` is the log's end in it.
    bool in_flight_ = false;
    bool in_flight_appends_ = false;
    log_index in_flight_last_;
};

} // namespace guavashed
