// Defines the event loop that keeps the sessions with control hosts and other entry hosts, collects
// the votes on claims and tracks forwarded requests.
#include "entry/peer_hub.hpp"

#include "base/codec.hpp"
#include "base/log.hpp"
#include "entry/fleet_view.hpp"

#include <algorithm>

namespace guavashed
{
namespace
{

constexpr std::size_t ring_capacity = 16'384;
constexpr milliseconds tick_interval{10};
constexpr milliseconds presence_interval{500};
/// Time without a confirmation of the configuration after which the next control host is used.
constexpr milliseconds control_confirmation_timeout{1500};
/// Largest fleet for which sessions with all other entry hosts are opened before they are needed;
/// in a larger one a session is opened at the first forward.
constexpr std::size_t max_preconnected_hosts = 64;

} // namespace

peer_hub::peer_hub(daemon_settings const& settings, event_loop& decision, on_event events)
    : settings_(settings), events_(decision, ring_capacity, std::move(events)), thread_("peer"),
      commands_(thread_, ring_capacity,
                [this](hub_command&& command) { on_command(std::move(command)); }),
      ticker_(thread_, tick_interval, [this](instant now) { tick(now); })
{
    // Control hosts of the own region come first; within a region the order is that of rendezvous
    // hashing on this host's name, which spreads the entry hosts over the control hosts.
    std::uint64_t const self = stable_hash(settings_.name.value());
    for (auto const& item : settings_.controls)
        control_preference_.push_back(item.host);
    auto const far = [&](host_name const& host)
    {
        auto const at = std::find_if(settings_.controls.begin(), settings_.controls.end(),
                                     [&](control_host const& item) { return item.host == host; });
        return at->region != settings_.region;
    };
    std::sort(control_preference_.begin(), control_preference_.end(),
              [&](host_name const& a, host_name const& b)
              {
                  if (far(a) != far(b))
                      return far(b);
                  return mix_hash(stable_hash(a.value()), self) <
                         mix_hash(stable_hash(b.value()), self);
              });
}

peer_hub::~peer_hub()
{
    stop();
}

result<void> peer_hub::start()
{
    frame_identity const identity{settings_.name.value(), settings_.cluster_key};
    server_ = std::make_unique<frame_server>(thread_, *this, identity);
    BOOST_OUTCOME_TRY(server_->listen(settings_.peer_listen));
    for (auto const& item : settings_.controls)
        control_clients_[item.host] =
            std::make_unique<frame_client>(thread_, *this, identity, item.peer_endpoint);
    boost::asio::post(thread_.context(),
                      [this]
                      {
                          for (auto& [host, client] : control_clients_)
                              client->start();
                          ticker_.start();
                      });
    return boost::outcome_v2::success();
}

bool peer_hub::push(hub_command command)
{
    return commands_.push(std::move(command));
}

void peer_hub::stop()
{
    thread_.stop();
}

void peer_hub::emit(hub_event event)
{
    if (!events_.push(std::move(event)))
        ++counters_.events_dropped;
}

void peer_hub::on_command(hub_command&& command)
{
    if (auto* begin = std::get_if<start_claim>(&command))
        return claim(std::move(*begin));
    if (auto const* record_command = std::get_if<record_claim>(&command))
        return record(*record_command);
    if (auto* forward_command = std::get_if<hub_forward>(&command))
        return forward(std::move(*forward_command));
    if (auto const* cancel = std::get_if<cancel_forward>(&command))
    {
        forwards_.erase(cancel->id);
        if (frame_client* client = find_client(cancel->host))
            client->send(frame_type::forward_cancel, encode(forward_cancel{cancel->id}));
        return;
    }
    if (auto const* reply = std::get_if<hub_outgoing_reply>(&command))
    {
        reply->to->send(frame_type::forward_reply, encode(reply->reply));
        return;
    }
    if (auto* presence = std::get_if<hub_presence>(&command))
    {
        bool const send_now = !presence_ || presence_->phase != presence->row.phase ||
                              presence_->version != presence->row.version;
        presence_ = std::move(presence->row);
        if (send_now)
            send_presence();
        return;
    }
    sync_peer_sessions(std::get<hub_peers>(command));
}

void peer_hub::tick(instant now)
{
    choose_control(now);
    if (now >= next_presence_)
        send_presence();
    std::vector<attempt_id> late;
    for (auto const& [attempt, item] : rounds_)
        if (item.order.deadline <= now)
            late.push_back(attempt);
    for (auto const attempt : late)
        finish_claim(attempt, rounds_.at(attempt).round.close());
}

void peer_hub::choose_control(instant now)
{
    if (control_deadline_ == instant())
        control_deadline_ = now + control_confirmation_timeout;
    if (now < control_deadline_ || control_preference_.size() < 2)
        return;
    current_control_ = (current_control_ + 1) % control_preference_.size();
    control_deadline_ = now + control_confirmation_timeout;
    ++counters_.control_switches;
    log_change(log_level::info, "control_switch",
               "to=" + control_preference_[current_control_].value());
    send_presence();
}

void peer_hub::send_presence()
{
    next_presence_ = instant::clock::now() + presence_interval;
    if (!presence_)
        return;
    std::string bytes = encode(*presence_);
    counters_.control_bytes += bytes.size();
    control_clients_.at(control_preference_[current_control_])
        ->send(frame_type::presence, std::move(bytes));
}

frame_client* peer_hub::find_client(host_name const& host)
{
    auto const at = entry_clients_.find(host);
    return at == entry_clients_.end() ? nullptr : at->second.get();
}

void peer_hub::claim(start_claim&& order)
{
    attempt_id const attempt = order.claim.attempt;
    std::string const bytes = encode(order.claim);
    auto const [at, added] =
        rounds_.emplace(attempt, open_round{claim_round(order.recorders.size()), order});
    std::optional<claim_verdict> verdict;
    for (auto const& recorder : order.recorders)
    {
        auto const client = control_clients_.find(recorder);
        if (client == control_clients_.end() || !client->second->send(frame_type::claim, bytes))
            verdict = at->second.round.mark_unreachable(recorder);
    }
    if (verdict)
        finish_claim(attempt, *verdict);
}

void peer_hub::finish_claim(attempt_id attempt, claim_verdict verdict)
{
    auto const at = rounds_.find(attempt);
    if (at == rounds_.end())
        return;
    hub_claim_result done{at->second.order.id, verdict, {}};
    if (verdict == claim_verdict::settled)
        done.answer = at->second.round.answer();
    rounds_.erase(at);
    emit(std::move(done));
}

void peer_hub::on_claim_reply(frame_session_ptr const& session, claim_reply const& reply)
{
    if (reply.step != claim_step::claim)
        return;
    auto const at = rounds_.find(reply.attempt);
    if (at == rounds_.end())
        return;
    if (auto const verdict = at->second.round.vote(host_name(session->peer()), reply))
        finish_claim(reply.attempt, *verdict);
}

void peer_hub::record(record_claim const& order)
{
    std::string const bytes = encode(order.claim);
    for (auto const& recorder : order.recorders)
    {
        auto const client = control_clients_.find(recorder);
        if (client != control_clients_.end())
            client->second->send(frame_type::claim, bytes);
    }
}

void peer_hub::forward(hub_forward&& order)
{
    frame_client* client = find_client(order.order.host);
    if (client == nullptr)
    {
        auto new_client = std::make_unique<frame_client>(
            thread_, *this, frame_identity{settings_.name.value(), settings_.cluster_key},
            order.order.peer_endpoint);
        new_client->start();
        entry_clients_[order.order.host] = std::move(new_client);
    }
    else if (client->send(frame_type::forward, encode(order.request)))
    {
        forwards_[order.order.id] = order.order.host;
        return;
    }
    forward_reply reply;
    reply.id = order.order.id;
    reply.outcome = outcome_kind::not_run;
    reply.cause = burn_cause::link;
    reply.reason =
        "no open session with entry host " + order.order.host.value() + "; request not sent";
    emit(hub_forward_result{std::move(reply), false});
}

void peer_hub::fail_forwards_to(host_name const& host)
{
    std::vector<request_id> lost;
    for (auto const& [id, to] : forwards_)
        if (to == host)
            lost.push_back(id);
    for (auto const id : lost)
    {
        forwards_.erase(id);
        forward_reply reply;
        reply.id = id;
        reply.outcome = outcome_kind::unknown;
        reply.cause = burn_cause::link;
        reply.reason = "session with entry host " + host.value() + " closed before it answered";
        emit(hub_forward_result{std::move(reply), true});
    }
}

void peer_hub::sync_peer_sessions(hub_peers const& neighbours)
{
    std::erase_if(entry_clients_,
                  [&](auto& item)
                  {
                      auto const at =
                          std::find_if(neighbours.rows.begin(), neighbours.rows.end(),
                                       [&](host_row const& row) { return row.host == item.first; });
                      bool const stays = at != neighbours.rows.end() &&
                                         at->peer_endpoint == item.second->endpoint();
                      if (!stays)
                          item.second->stop();
                      return !stays;
                  });
    if (neighbours.rows.size() > max_preconnected_hosts)
        return;
    for (auto const& row : neighbours.rows)
    {
        if (row.host == settings_.name || entry_clients_.contains(row.host))
            continue;
        auto client = std::make_unique<frame_client>(
            thread_, *this, frame_identity{settings_.name.value(), settings_.cluster_key},
            row.peer_endpoint);
        client->start();
        entry_clients_[row.host] = std::move(client);
    }
}

void peer_hub::on_open(frame_session_ptr const& session)
{
    if (session->peer() == control_preference_[current_control_].value())
        send_presence();
}

void peer_hub::on_close(frame_session_ptr const& session)
{
    host_name const host(session->peer());
    frame_client const* client = find_client(host);
    if (client != nullptr && client->owns(*session))
        fail_forwards_to(host);
}

void peer_hub::on_frame(frame_session_ptr const& session, frame&& item)
{
    std::string const& peer = session->peer();
    switch (item.type)
    {
    case frame_type::configuration:
        counters_.control_bytes += item.payload.size();
        if (auto push = decode<configuration_push>(item.payload, peer))
        {
            if (peer == control_preference_[current_control_].value())
                control_deadline_ = instant::clock::now() + control_confirmation_timeout;
            return emit(std::move(push).value());
        }
        break;
    case frame_type::view:
        counters_.control_bytes += item.payload.size();
        if (auto push = decode<view_push>(item.payload, peer))
        {
            if (peer == control_preference_[current_control_].value())
                emit(std::move(push).value());
            return;
        }
        break;
    case frame_type::loads:
        counters_.control_bytes += item.payload.size();
        if (auto push = decode<load_push>(item.payload, peer))
        {
            if (peer == control_preference_[current_control_].value())
                emit(std::move(push).value());
            return;
        }
        break;
    case frame_type::claim_reply:
        if (auto reply = decode<claim_reply>(item.payload, peer))
            return on_claim_reply(session, reply.value());
        break;
    case frame_type::forward:
        if (auto request = decode<forward_request>(item.payload, peer))
            return emit(hub_incoming_forward{std::move(request).value(), session});
        break;
    case frame_type::forward_reply:
        if (auto reply = decode<forward_reply>(item.payload, peer))
        {
            if (forwards_.erase(reply.value().id) > 0)
                emit(hub_forward_result{std::move(reply).value(), true});
            return;
        }
        break;
    case frame_type::forward_cancel:
        if (auto cancel = decode<forward_cancel>(item.payload, peer))
            return emit(hub_incoming_cancel{cancel.value().id, session});
        break;
    default:
        break;
    }
    ++counters_.bad_frames;
    log_change(log_level::warning, "bad_frame", "peer=" + peer);
    session->close();
}

} // namespace guavashed
