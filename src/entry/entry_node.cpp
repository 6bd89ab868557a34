// Start-up, event handling and graceful shutdown of an entry host.
#include "entry/entry_node.hpp"

#include "base/codec.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <future>
#include <sstream>

namespace guavashed
{
namespace json = boost::json;

namespace
{

constexpr std::size_t front_ring_capacity = 16'384;
constexpr std::size_t operator_ring_capacity = 256;
constexpr std::size_t table_ring_capacity = 8;
constexpr milliseconds tick_interval{5};
constexpr milliseconds publish_interval{250};
/// Minimum time between rebuilds of the steering table; changes in between share one rebuild.
constexpr milliseconds table_interval{500};
/// How long other hosts' look-up answers may still name a leaving host: its presence message, the
/// fleet view and the push of the view each add a delay.
constexpr milliseconds view_lag{1500};
/// First local id for requests forwarded by other entry hosts; entry_front counts its ids from 1.
constexpr std::uint64_t first_forwarded_id = std::uint64_t{1} << 62;

std::string join_path(std::string const& folder, char const* file)
{
    return folder + "/" + file;
}

} // namespace

entry_node::entry_node(daemon_settings const& settings)
    : settings_(settings), decision_("decision"), steering_("steering"), caller_("caller"),
      ticker_(decision_, tick_interval, [this](instant now) { tick(now); }),
      front_ring_(decision_, front_ring_capacity,
                  [this](front_event&& event) { on_front(std::move(event)); }),
      operator_ring_(decision_, operator_ring_capacity,
                     [this](operator_request&& item) { on_operator(std::move(item)); }),
      table_ring_(steering_, table_ring_capacity,
                  [this](table_input&& order)
                  {
                      blocks_moved_ += table_.rebuild(order.config, order.view);
                      table_built_ = true;
                  }),
      forwarded_ids_(first_forwarded_id)
{
}

entry_node::~entry_node()
{
    stop();
}

result<void> entry_node::start()
{
    BOOST_OUTCOME_TRY(auto rules, chart::load(join_path(settings_.chart_folder, "upstream.json"),
                                              upstream_vocabulary()));
    upstream_rules_ = std::move(rules);
    wall_instant const now = std::chrono::system_clock::now();
    life_ = incarnation(static_cast<std::uint64_t>(wall_ms(now)));
    entry_settings core;
    core.host = settings_.name;
    core.region = settings_.region;
    core.domain = settings_.domain;
    core.life = life_;
    core.policy = settings_.policy;
    core.seed = life_.value() ^ stable_hash(settings_.name.value());
    core_ = std::make_unique<entry_core>(core, *upstream_rules_);
    front_ = std::make_unique<entry_front>(settings_, table_,
                                           [this](front_event event)
                                           { return front_ring_.push(std::move(event)); });
    server_ = std::make_unique<http_server>(caller_, *front_, http_server_limits{});
    std::string const home = settings_.name.value() + "/" + std::to_string(life_.value());
    sender_ = std::make_unique<upstream_sender>(decision_, home,
                                                [this](sender_result&& done)
                                                {
                                                    instant const at = instant::clock::now();
                                                    core_->on_attempt(at, done.attempt,
                                                                      std::move(done.result));
                                                    run_actions(at);
                                                });
    hub_ = std::make_unique<peer_hub>(settings_, decision_,
                                      [this](hub_event&& event) { on_hub(std::move(event)); });
    BOOST_OUTCOME_TRY(hub_->start());
    BOOST_OUTCOME_TRY(server_->listen(settings_.caller_listen));
    boost::asio::post(decision_.context(), [this] { ticker_.start(); });
    log_change(log_level::info, "entry_started", "life=" + std::to_string(life_.value()));
    return boost::outcome_v2::success();
}

void entry_node::tick(instant now)
{
    bool const connected = now < control_lease_until_;
    core_->on_control_lease(now, connected);
    core_->tick(now);
    run_actions(now);
    if (now >= next_publish_)
        publish(now);
    if (table_stale_ && now >= next_table_)
        rebuild_table(now);
    front_->set_serving(configured_ && table_built_ && !leaving_);
}

host_row entry_node::row_with_endpoints(instant now) const
{
    host_row row = core_->row(now);
    row.caller_endpoint = settings_.caller_listen;
    row.peer_endpoint = settings_.peer_listen;
    row.operator_endpoint = settings_.operator_listen;
    return row;
}

void entry_node::publish(instant now)
{
    next_publish_ = now + publish_interval;
    hub_->push(hub_presence{row_with_endpoints(now)});
}

void entry_node::on_front(front_event&& event)
{
    instant const now = instant::clock::now();
    if (auto* call = std::get_if<front_call>(&event))
        on_call(std::move(*call));
    else if (auto const* gone = std::get_if<front_abandoned>(&event))
    {
        held_.erase(gone->id);
        core_->on_abandoned(now, gone->id);
    }
    else
    {
        auto& item = std::get<front_announcement>(event);
        announce_answer const answer = core_->on_announce(now, item.announcement, item.redirected);
        json::array others;
        for (auto const& other : answer.others)
            others.emplace_back(other.value());
        json::object const body{
            {"accepted", answer.accepted}, {"acceptance", answer.acceptance},
            {"home", answer.home.value()}, {"home_address", answer.home_endpoint.value()},
            {"lease_ms", answer.lease_ms}, {"others", others}};
        item.exchange->respond(json_response(200, json::serialize(body)));
    }
    run_actions(now);
}

void entry_node::on_call(front_call&& call)
{
    instant const now = instant::clock::now();
    request_id const id = call.request.id;
    held_request& held = held_[id];
    held.exchange = std::move(call.exchange);
    held.arrived = now;
    held.content.service = call.request.service;
    held.content.kind = call.request.kind;
    held.content.caller = call.request.caller;
    held.content.key = call.request.key;
    held.content.first_try = call.request.first_try ? 1 : 0;
    held.content.target = std::move(call.target);
    held.content.body = std::move(call.body);
    core_->on_request(now, std::chrono::system_clock::now(), call.request);
}

void entry_node::on_forwarded_request(hub_incoming_forward&& item)
{
    instant const now = instant::clock::now();
    request_id const id(forwarded_ids_++);
    held_request& held = held_[id];
    held.origin = std::move(item.from);
    held.origin_id = item.request.id;
    held.arrived = now;
    held.content = std::move(item.request);
    caller_request request;
    request.id = id;
    request.service = held.content.service;
    request.kind = held.content.kind;
    request.caller = held.content.caller;
    request.key = held.content.key;
    request.first_try = held.content.first_try != 0;
    request.deadline = now + milliseconds(held.content.deadline_left_ms);
    request.bytes = held.content.body.size();
    request.forwarded = true;
    core_->on_request(now, std::chrono::system_clock::now(), request);
}

void entry_node::on_hub(hub_event&& event)
{
    instant const now = instant::clock::now();
    if (auto const* claim = std::get_if<hub_claim_result>(&event))
        core_->on_claim(now, claim->id, claim->verdict, claim->answer);
    else if (auto* forwarded = std::get_if<hub_forward_result>(&event))
        core_->on_forward(now, std::move(forwarded->reply), forwarded->reached);
    else if (auto* request = std::get_if<hub_incoming_forward>(&event))
        on_forwarded_request(std::move(*request));
    else if (auto const* cancel = std::get_if<hub_incoming_cancel>(&event))
    {
        for (auto const& [id, held] : held_)
            if (held.origin == cancel->from && held.origin_id == cancel->id)
            {
                request_id const gone = id;
                held_.erase(gone);
                core_->on_abandoned(now, gone);
                break;
            }
    }
    else if (auto* push = std::get_if<configuration_push>(&event))
        on_configuration(std::move(*push));
    else if (auto const* loads = std::get_if<load_push>(&event))
        core_->on_loads(*loads);
    else if (core_->on_view(std::get<view_push>(event)))
    {
        hub_->push(hub_peers{core_->view().rows()});
        table_stale_ = true;
    }
    run_actions(now);
}

void entry_node::on_configuration(configuration_push&& push)
{
    instant const now = instant::clock::now();
    config_version const held = core_->config().version;
    if (push.seats_version < seats_version_)
        return;
    bool const new_seats = push.seats_version > seats_version_;
    seats_version_ = push.seats_version;
    if (new_seats)
        core_->on_seats(now, push.seats);
    if (push.config && push.config->version > held)
    {
        core_->on_state(now, {*push.config, push.seats});
        publish(now);
        table_stale_ = true;
    }
    // A control replica with an older configuration than this host's cannot renew the lease.
    if (push.version < core_->config().version)
        return;
    control_lease_until_ = std::max(control_lease_until_, now + milliseconds(push.lease_left_ms));
    if (configured_)
        return;
    configured_ = true;
    core_->start_serving();
    log_change(log_level::info, "serving", "version=" + std::to_string(push.version.value()));
    publish(now);
}

void entry_node::rebuild_table(instant now)
{
    next_table_ = now + table_interval;
    table_stale_ = !table_ring_.push(table_input{core_->config(), core_->view()});
}

bool entry_node::submit(operator_request request)
{
    return operator_ring_.push(std::move(request));
}

bool entry_node::leave(instant until)
{
    instant const lookups_valid_until =
        instant::clock::now() + settings_.lookup_validity + view_lag;
    boost::asio::post(decision_.context(),
                      [this]
                      {
                          leaving_ = true;
                          core_->start_leaving();
                          publish(instant::clock::now());
                      });
    log_change(log_level::info, "leaving", "host=" + settings_.name.value());
    auto const unfinished = [this]
    {
        std::promise<std::size_t> count;
        boost::asio::post(decision_.context(),
                          [&] { count.set_value(core_->unfinished() + held_.size()); });
        return count.get_future().get();
    };
    std::size_t left = unfinished();
    while (instant::clock::now() < until &&
           (instant::clock::now() < lookups_valid_until || left > 0))
    {
        std::this_thread::sleep_for(milliseconds(20));
        left = unfinished();
    }
    server_->close();
    while (instant::clock::now() < until && (left = unfinished()) > 0)
        std::this_thread::sleep_for(milliseconds(20));
    // Lets the last answers be written to their connections.
    std::this_thread::sleep_for(milliseconds(100));
    log_change(log_level::info, "left", "unfinished=" + std::to_string(left));
    return left == 0;
}

void entry_node::stop()
{
    caller_.stop();
    if (sender_)
        sender_->stop();
    if (hub_)
        hub_->stop();
    decision_.stop();
    steering_.stop();
}

} // namespace guavashed
