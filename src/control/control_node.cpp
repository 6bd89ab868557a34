// Start, periodic work, frame dispatch and shutdown of a control host.
#include "control/control_node.hpp"

#include "base/codec.hpp"
#include "base/invariant.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <future>

namespace guavashed
{
namespace
{

constexpr std::size_t operator_ring_capacity = 1024;
constexpr milliseconds tick_interval{10};
constexpr milliseconds join_interval{200};
constexpr milliseconds presence_interval{500};
constexpr milliseconds housekeeping_interval{200};
constexpr std::size_t max_accepted_versions = 256;
constexpr milliseconds hand_over_poll_interval{100};

std::string claims_path(daemon_settings const& settings)
{
    return settings.data_folder + "/claims";
}

} // namespace

control_node::control_node(daemon_settings const& settings)
    : settings_(settings), event_loop_("control"),
      ticker_(event_loop_, tick_interval, [this](instant now) { tick(now); }),
      operator_ring_(event_loop_, operator_ring_capacity,
                     [this](operator_request&& item) { on_operator(std::move(item)); })
{
}

control_node::~control_node()
{
    stop();
}

result<void> control_node::start()
{
    BOOST_OUTCOME_TRY(auto opened, raft_store::open(settings_.data_folder));
    if (opened.torn_bytes > 0)
        log_change(log_level::warning, "torn_tail_cut",
                   "bytes=" + std::to_string(opened.torn_bytes));
    disk_ = opened.disk;
    disk_first_used_ = opened.born;
    claim_book book(disk_first_used_);
    BOOST_OUTCOME_TRY(auto claims, open_claims(claims_path(settings_), book));
    BOOST_OUTCOME_TRY(state_.load(opened.restored.snapshot.state));

    storage_ = std::make_unique<storage_worker>(
        event_loop_, std::move(opened.store), std::move(claims), claims_path(settings_),
        [this](storage_done&& done) { on_storage(std::move(done)); });
    recorder_ = std::make_unique<recorder>(std::move(book), [this](persist_claims job)
                                           { return storage_->submit(std::move(job)); });
    raft_settings rules;
    rules.self = settings_.name;
    rules.disk = disk_;
    rules.seed = disk_.value();
    replica_ = std::make_unique<replica_driver>(rules, std::move(opened.restored), owner());
    raft_ = &replica_->core();

    frame_identity const identity{settings_.name.value(), settings_.cluster_key};
    server_ = std::make_unique<frame_server>(event_loop_, *this, identity);
    BOOST_OUTCOME_TRY(server_->listen(settings_.peer_listen));
    for (auto const& host : settings_.controls)
    {
        if (host.host == settings_.name)
            continue;
        peer_state& peer = peers_[host.host];
        peer.link =
            std::make_unique<frame_client>(event_loop_, *this, identity, host.peer_endpoint);
    }
    boost::asio::post(event_loop_.context(),
                      [this]
                      {
                          for (auto& [host, peer] : peers_)
                              peer.link->start();
                          ticker_.start();
                      });
    log_change(log_level::info, "control_started",
               std::string("disk=") + (opened.fresh ? "fresh" : "known") +
                   " version=" + std::to_string(state_.version().value()));
    return boost::outcome_v2::success();
}

void control_node::tick(instant now)
{
    raft_->tick(now);
    replica_->drive();
    recorder_->tick(std::chrono::system_clock::now());
    if (now >= next_join_)
    {
        next_join_ = now + join_interval;
        send_join();
        found_group_when_ready();
    }
    if (now >= next_presence_)
    {
        next_presence_ = now + presence_interval;
        share_presence();
    }
    if (now >= next_housekeeping_)
    {
        next_housekeeping_ = now + housekeeping_interval;
        for (auto const& host : presence_.expire(now))
            log_change(log_level::warning, "host_gone", "host=" + host.value());
        if (raft_->lease_holds(now) && raft_->caught_up())
        {
            update_membership(now);
            assign_seats(now);
            propose_shift_step(now);
            replica_->drive();
        }
    }
    record_in_force(now);
    for (auto& [session, entry] : entries_)
        if (now >= entry.next_push)
            push_to(now, entry);
    std::erase_if(pending_confirms_,
                  [&](pending_confirm const& item)
                  {
                      if (now < item.until)
                          return false;
                      item.exchange->respond(error_response(
                          504, fail(error_code::timeout, "confirm", settings_.name.value(),
                                    "no outcome yet for operation " + item.operation.value() +
                                        "; it may still be accepted; confirm the same plan again "
                                        "to get its outcome")));
                      return true;
                  });
}

void control_node::observe_leader(instant now)
{
    if (raft_->role() == last_role_ && raft_->leader() == last_leader_)
        return;
    last_role_ = raft_->role();
    last_leader_ = raft_->leader();
    if (raft_->is_leader())
    {
        leader_since_ = now;
        shifts_.reset();
    }
    if (last_leader_ == host_name())
        return;
    ++counters_.leaders_seen;
    log_change(log_level::info, "leader",
               "leader=" + last_leader_.value() + " term=" + std::to_string(raft_->term().value()) +
                   " role=" + to_string(last_role_));
}

replica_owner control_node::owner()
{
    replica_owner out;
    out.install = [this](raft_snapshot const& snapshot) { install(snapshot); };
    out.apply = [this](raft_entry const& entry) { apply(entry); };
    out.send = [this](raft_message const& message) { send_raft(message); };
    out.applied = [this] { push_changed_state(instant::clock::now()); };
    out.on_role_update = [this] { observe_leader(instant::clock::now()); };
    out.failed = [this](error const&) { ++counters_.storage_failures; };
    out.save = [this] { return state_.save(); };
    out.submit = [this](storage_job job) { return storage_->submit(std::move(job)); };
    return out;
}

void control_node::install(raft_snapshot const& snapshot)
{
    auto const loaded = state_.load(snapshot.state);
    GUAVASHED_INVARIANT(loaded.has_value()) << to_string(loaded.error());
}

void control_node::on_storage(storage_done&& done)
{
    auto const* claims = std::get_if<persist_claims>(&done.job);
    if (claims == nullptr)
        return replica_->on_storage(std::move(done));
    if (done.failure)
    {
        ++counters_.storage_failures;
        log_change(log_level::error, "storage_failed", to_string(*done.failure));
    }
    recorder_->on_stored(std::chrono::system_clock::now(), *claims, done.failure.has_value());
}

void control_node::apply(raft_entry const& entry)
{
    auto const command = decode<control_command>(entry.payload, "log");
    GUAVASHED_INVARIANT(command.has_value()) << to_string(command.error());
    config_version const before = state_.version();
    control_answer const answer = state_.apply(command.value());
    GUAVASHED_INVARIANT(state_.version() >= before)
        << "applying an entry lowered the version from " << before << " to " << state_.version();
    if (state_.version() != before)
    {
        accepted_versions_.push_back({state_.version(), instant::clock::now(), std::nullopt});
        if (accepted_versions_.size() > max_accepted_versions)
            accepted_versions_.erase(accepted_versions_.begin());
        log_change(log_level::info, "accepted",
                   "version=" + std::to_string(state_.version().value()));
    }
    if (command.value().kind != control_command_kind::confirm)
        return;
    std::erase_if(pending_confirms_,
                  [&](pending_confirm const& item)
                  {
                      if (item.operation != answer.operation)
                          return false;
                      item.exchange->respond(confirm_response(answer));
                      return true;
                  });
}

void control_node::send_raft(raft_message const& message)
{
    auto const peer = peers_.find(message.to);
    if (peer == peers_.end())
        return;
    ++counters_.raft_messages;
    peer->second.link->send(frame_type::raft, encode(message));
}

bool control_node::propose(control_command const& command)
{
    return raft_->propose(encode(command)).has_value();
}

std::optional<region_load> control_node::load_of(region_name const& region) const
{
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    double weighted_us = 0;
    for (auto const& row : presence_.rows())
    {
        if (row.region != region)
            continue;
        for (auto const& load : row.services)
        {
            slots += load.slots;
            in_flight += load.in_flight;
            weighted_us += double(load.slots) * load.mean_service_us;
        }
    }
    if (slots == 0)
        return std::nullopt;
    return region_load{slot_count(slots), slot_count(in_flight),
                       microseconds(static_cast<std::int64_t>(weighted_us / slots))};
}

void control_node::propose_shift_step(instant now)
{
    if (raft_->last_index() != replica_->applied())
        return;
    for (auto const& shift : state_.fleet().config.shifts)
    {
        auto const decision = shifts_.decide(now, shift, load_of(shift.to));
        if (!decision)
            continue;
        control_command command;
        command.kind = control_command_kind::shift_step;
        command.shift = shift;
        command.shift.current = decision->current;
        command.at_ms = wall_ms(std::chrono::system_clock::now());
        propose(command);
        return;
    }
}

void control_node::on_open(frame_session_ptr const&) {}

void control_node::on_close(frame_session_ptr const& session)
{
    entries_.erase(session.get());
}

void control_node::on_frame(frame_session_ptr const& session, frame&& item)
{
    switch (item.type)
    {
    case frame_type::raft:
        if (auto message = decode<raft_message>(item.payload, session->peer()))
        {
            raft_->step(instant::clock::now(), message.value());
            return replica_->drive();
        }
        break;
    case frame_type::join:
        if (auto message = decode<join_message>(item.payload, session->peer()))
            return on_join(std::move(message).value());
        break;
    case frame_type::presence:
        return on_presence(session, item.payload);
    case frame_type::peer_presence:
        return on_peer_presence(item.payload);
    case frame_type::claim:
        if (auto request = decode<claim_request>(item.payload, session->peer()))
        {
            std::weak_ptr<frame_session> const to = session;
            return recorder_->on_request(std::move(request).value(),
                                         [to](claim_reply const& reply)
                                         {
                                             if (auto const open = to.lock())
                                                 open->send(frame_type::claim_reply, encode(reply));
                                         });
        }
        break;
    default:
        break;
    }
    ++counters_.bad_frames;
    log_change(log_level::warning, "bad_frame", "peer=" + session->peer());
    session->close();
}

bool control_node::submit(operator_request request)
{
    return operator_ring_.push(std::move(request));
}

void control_node::leave(instant until)
{
    bool done = false;
    while (!done && instant::clock::now() < until)
    {
        std::promise<bool> was_leader;
        boost::asio::post(event_loop_.context(),
                          [&]
                          {
                              instant const now = instant::clock::now();
                              bool const leading = raft_->is_leader();
                              if (leading)
                                  raft_->hand_over(now);
                              replica_->drive();
                              was_leader.set_value(leading);
                          });
        done = !was_leader.get_future().get();
        if (!done)
            std::this_thread::sleep_for(hand_over_poll_interval);
    }
    log_change(log_level::info, "control_left", std::string("handed_over=") + (done ? "1" : "0"));
}

void control_node::stop()
{
    event_loop_.stop();
    if (storage_)
        storage_->stop();
}

} // namespace guavashed
