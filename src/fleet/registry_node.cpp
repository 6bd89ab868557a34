// Start, stop and event loop of a control host, and the connection of its replica to the register.
#include "fleet/registry_node.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "base/log.hpp"
#include "fleet/registry_port.hpp"

#include <algorithm>
#include <future>

namespace guavashed
{
namespace
{

/// Below the shortest interval of a control host, the heartbeat to its group.
constexpr milliseconds tick_interval{20};
/// Round trips between regions take up to 100 ms.
constexpr milliseconds group_heartbeat{100};
constexpr milliseconds group_election{600};
constexpr milliseconds watch_interval{200};
/// For connections to end after the last answers of a planned stop.
constexpr milliseconds close_timeout{1000};
constexpr milliseconds close_poll_interval{20};

} // namespace

registry_node::registry_node(registry_settings settings, registry_protocol const& protocol,
                             std::function<void()> on_failure)
    : settings_(std::move(settings)), protocol_(protocol), on_failure_(std::move(on_failure)),
      self_(settings_.peer_listen.value()), event_loop_("control"),
      ticker_(event_loop_, tick_interval, [this](instant now) { tick(now); }),
      quota_ledger_(settings_.quota), tickets_(self_)
{
}

registry_node::~registry_node()
{
    stop();
}

result<void> registry_node::start()
{
    BOOST_OUTCOME_TRY(auto opened, raft_store::open(settings_.data_folder));
    if (opened.torn_bytes > 0)
        log_change(log_level::warning, "torn_tail_cut",
                   "bytes=" + std::to_string(opened.torn_bytes));
    disk_ = opened.disk;
    raft_snapshot const& snapshot = opened.restored.snapshot;
    BOOST_OUTCOME_TRY(register_.load(snapshot.state));
    note_changes(instant::clock::now());
    feed_.start(instant::clock::now());
    if (snapshot.index == log_index(1))
        founding_snapshot_ = encode(snapshot);
    BOOST_OUTCOME_TRY(open_founding_vote());

    storage_ = std::make_unique<storage_worker>(
        event_loop_, std::move(opened.store), record_file(), "",
        [this](storage_done&& done) { replica_->on_storage(std::move(done)); });
    raft_settings rules;
    rules.self = self_;
    rules.disk = disk_;
    rules.heartbeat = group_heartbeat;
    rules.election = group_election;
    rules.seed = disk_.value();
    replica_ = std::make_unique<replica_driver>(rules, std::move(opened.restored), owner());
    raft_ = &replica_->core();

    port_ = std::make_unique<port>(event_loop_, [this](http_request&& request, auto exchange)
                                   { on_http(std::move(request), std::move(exchange)); });
    server_ = std::make_unique<frame_server>(event_loop_, *this, fleet_identity(self_.value()));
    BOOST_OUTCOME_TRY(server_->listen(settings_.peer_listen));
    BOOST_OUTCOME_TRY(port_->listen(settings_.operator_listen));
    if (!settings_.resolve_listen.value().empty() &&
        settings_.resolve_listen != settings_.operator_listen)
    {
        BOOST_OUTCOME_TRY(port_->listen(settings_.resolve_listen));
    }
    if (!settings_.metrics_listen.value().empty())
    {
        BOOST_OUTCOME_TRY(port_->listen(settings_.metrics_listen));
    }
    boost::asio::post(event_loop_.context(),
                      [this]
                      {
                          for (auto const& seed : settings_.seeds)
                              link_to(host_name(seed.value()));
                          for (auto const& member : raft_->membership().members)
                              link_to(member.host);
                          ticker_.start();
                      });
    log_change(log_level::info, "control_started",
               std::string("disk=") + (opened.fresh ? "fresh" : "known") +
                   " applied=" + std::to_string(replica_->applied().value()) +
                   " version=" + std::to_string(register_.version().value()) +
                   " members=" + std::to_string(raft_->membership().members.size()));
    return boost::outcome_v2::success();
}

void registry_node::add_seeds(std::vector<endpoint_text> seeds)
{
    boost::asio::post(event_loop_.context(),
                      [this, seeds = std::move(seeds)]
                      {
                          for (auto const& seed : seeds)
                              link_to(host_name(seed.value()));
                      });
}

void registry_node::link_to(host_name const& host)
{
    if (host == self_ || links_.contains(host))
        return;
    auto link = std::make_unique<frame_client>(event_loop_, *this, fleet_identity(self_.value()),
                                               endpoint_text(host.value()));
    link->start();
    links_[host] = std::move(link);
}

void registry_node::tick(instant now)
{
    raft_->tick(now);
    replica_->drive();
    if (now >= next_greeting_)
        send_greetings(now);
    if (now >= next_flush_)
        flush_announced();
    if (now >= next_watch_)
    {
        next_watch_ = now + watch_interval;
        if (raft_->lease_holds(now) && raft_->caught_up())
        {
            propose_membership_step(now);
            expire_upstreams(now);
            replica_->drive();
        }
    }
    grant_waiting_leases(now);
    expire_pending(now);
    push_changes(now);
}

void registry_node::note_leader(instant now)
{
    if (raft_->role() == last_role_ && raft_->leader() == last_leader_)
        return;
    bool const changed = raft_->leader() != last_leader_;
    last_role_ = raft_->role();
    last_leader_ = raft_->leader();
    update_directory(instant::clock::now());
    if (last_leader_ == host_name())
        return log_change(log_level::warning, "leader_lost",
                          "term=" + std::to_string(raft_->term().value()));
    if (!changed)
        return;
    ++counters_.leaders_seen;
    log_change(log_level::info, "leader",
               "leader=" + last_leader_.value() + " term=" + std::to_string(raft_->term().value()) +
                   " role=" + to_string(last_role_));
    // The times of announcements known to the previous leader are not replicated: count the
    // missed announcements of all upstreams from now on.
    for (auto const& [id, held] : register_.upstreams())
        last_announced_[id] = now;
    // A host that was paused may learn of a leader after its callers have given up.
    expire_pending(now);
    for (auto const& [number, order] : pending_)
        send_proposal(order.command);
}

replica_owner registry_node::owner()
{
    replica_owner out;
    out.install = [this](raft_snapshot const& snapshot) { install(snapshot); };
    out.apply = [this](raft_entry const& entry) { apply(entry); };
    out.send = [this](raft_message const& message) { send_raft(message); };
    out.applied = [this]
    {
        instant const now = instant::clock::now();
        grant_waiting_leases(now);
        push_changes(now);
    };
    out.on_role_update = [this] { note_leader(instant::clock::now()); };
    out.failed = [this](error const&) { on_failure_(); };
    out.save = [this] { return register_.save(); };
    out.submit = [this](storage_job job) { return storage_->submit(std::move(job)); };
    return out;
}

void registry_node::install(raft_snapshot const& snapshot)
{
    auto const loaded = register_.load(snapshot.state);
    GUAVASHED_INVARIANT(loaded.has_value()) << to_string(loaded.error());
    note_changes(instant::clock::now());
    log_change(log_level::info, "snapshot_installed",
               "index=" + std::to_string(snapshot.index.value()) +
                   " version=" + std::to_string(register_.version().value()));
}

void registry_node::apply(raft_entry const& entry)
{
    auto const command = decode<register_command>(entry.payload, "log");
    GUAVASHED_INVARIANT(command.has_value()) << to_string(command.error());
    instant const now = instant::clock::now();
    config_version const before = register_.version();
    register_outcome const outcome = register_.apply(entry.index, command.value(), now);
    GUAVASHED_INVARIANT(register_.version() >= before)
        << "configuration version decreased from " << before << " to " << register_.version();
    note_changes(now);
    complete_request(command.value(), outcome);
}

void registry_node::send_raft(raft_message const& message)
{
    auto const link = links_.find(message.to);
    if (link == links_.end())
        return link_to(message.to);
    link->second->send(frame_type::raft, encode(message));
}

void registry_node::on_open(frame_session_ptr const& session)
{
    log_change(log_level::info, "session_opened", "peer=" + session->peer());
    for (auto const& [host, link] : links_)
        if (link->owns(*session))
            next_greeting_ = instant();
}

void registry_node::on_close(frame_session_ptr const& session)
{
    log_change(log_level::warning, "session_lost", "peer=" + session->peer());
    if (entry_sessions_.erase(session.get()) > 0)
        feed_.note_entries(entry_sessions_.size());
}

void registry_node::on_frame(frame_session_ptr const& session, frame&& item)
{
    instant const now = instant::clock::now();
    switch (item.type)
    {
    case frame_type::raft:
        if (auto message = decode<raft_message>(item.payload, session->peer()))
        {
            raft_->step(now, message.value());
            return replica_->drive();
        }
        break;
    case frame_type::greeting:
        if (auto message = decode<control_greeting>(item.payload, session->peer()))
            return on_greeting(std::move(message).value());
        break;
    case frame_type::founding_vote:
        if (auto message = decode<founding_message>(item.payload, session->peer()))
            return on_founding_vote(message.value());
        break;
    case frame_type::proposal:
        if (raft_->propose(std::move(item.payload)))
            replica_->drive();
        return;
    case frame_type::config_read:
        if (auto message = decode<config_read>(item.payload, session->peer()))
            return on_config_read(session, std::move(message).value());
        break;
    case frame_type::announced_upstreams:
        if (auto message = decode<announced_upstreams>(item.payload, session->peer()))
        {
            for (auto const& id : message.value().ids)
                last_announced_[id] = now;
            return;
        }
        break;
    case frame_type::entry_report:
        if (auto message = decode<entry_report>(item.payload, session->peer()))
            return on_entry_report(session, std::move(message).value());
        break;
    case frame_type::lease_request:
        if (auto message = decode<lease_request>(item.payload, session->peer()))
            return on_lease_request(session, std::move(message).value());
        break;
    case frame_type::lease_grant:
        if (auto message = decode<lease_grant>(item.payload, session->peer()))
            return on_lease_grant(message.value());
        break;
    default:
        break;
    }
    ++counters_.bad_frames;
    log_change(log_level::warning, "bad_frame", "peer=" + session->peer());
    session->close();
}

void registry_node::leave(instant until)
{
    port_->drain();
    bool done = false;
    while (!done && instant::clock::now() < until)
    {
        std::promise<bool> unfinished;
        boost::asio::post(event_loop_.context(),
                          [&]
                          {
                              instant const now = instant::clock::now();
                              leaving_ = true;
                              send_greetings(now);
                              bool const leads = raft_->is_leader();
                              if (leads)
                                  raft_->hand_over(now);
                              replica_->drive();
                              unfinished.set_value(leads || !pending_.empty() ||
                                                   !pending_reads_.empty());
                          });
        done = !unfinished.get_future().get();
        if (!done)
            std::this_thread::sleep_for(milliseconds(100));
    }
    // Requests that have reached this host are answered; one that is cut may be an order that its
    // caller must not repeat without knowing its outcome.
    port_->close();
    instant const closed_by = instant::clock::now() + close_timeout;
    while (!port_->closed() && instant::clock::now() < closed_by)
        std::this_thread::sleep_for(close_poll_interval);
    log_change(log_level::info, "control_left",
               std::string("handed_over=") + (done ? "1" : "0") +
                   " closed=" + (port_->closed() ? "1" : "0"));
}

void registry_node::stop()
{
    event_loop_.stop();
    if (storage_)
        storage_->stop();
}

} // namespace guavashed
