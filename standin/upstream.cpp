// Announcements, leases and simulated execution of the stand-in upstream.
#include "upstream.hpp"

#include <boost/json.hpp>

namespace standin
{
namespace json = boost::json;
using namespace guavashed;

namespace
{

constexpr milliseconds announce_interval{400};
constexpr milliseconds announce_timeout{700};
constexpr std::chrono::seconds late_work_grace{2};
constexpr milliseconds retry_delay{50};

std::string host_of(std::string const& home)
{
    return home.substr(0, home.find('/'));
}

} // namespace

struct upstream::work
{
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<boost::asio::steady_timer> timer;
    std::string request_id;
    std::string home;
    std::string key;
    std::string body;
    bool done = false;
};

upstream::upstream(event_loop& owner, upstream_settings settings)
    : owner_(owner), settings_(std::move(settings)), server_(owner, *this, {}), client_(owner),
      timer_(owner.context()), random_(settings_.seed), cold_left_(settings_.cold_work)
{
    incarnation_ = static_cast<std::uint64_t>(wall_ms(std::chrono::system_clock::now()));
    if (!settings_.ledger_path.empty())
        ledger_.open(settings_.ledger_path, std::ios::app);
    next_seed_ = settings_.seeds.empty() ? 0 : random_() % settings_.seeds.size();
}

bool upstream::start()
{
    if (!server_.listen(endpoint_text(settings_.address)))
        return false;
    boost::asio::post(owner_.context(),
                      [this]
                      {
                          select_next_seed();
                          announce();
                      });
    return true;
}

void upstream::leave()
{
    leaving_ = true;
    leaving_since_ = instant::clock::now();
    announce();
}

void upstream::select_next_seed()
{
    redirected_ = false;
    if (settings_.seeds.empty())
        return;
    target_ = settings_.seeds[next_seed_++ % settings_.seeds.size()];
}

void upstream::announce()
{
    instant const now = instant::clock::now();
    unsigned elsewhere = 0;
    for (auto const& [home, count] : in_flight_by_home_)
        if (host_of(home) != home_name_)
            elsewhere += count;
    json::object const body{
        {"name", settings_.name},
        {"service", settings_.service},
        {"region", settings_.region},
        {"failure_domain", settings_.domain},
        {"address", settings_.address},
        {"slots", settings_.slots},
        {"incarnation", incarnation_},
        {"in_flight_elsewhere", elsewhere},
        {"previous_lease_left_ms", target_ == home_ ? 0 : remaining_ms(lease_until_, now)},
        {"acceptance", target_ == home_ ? acceptance_ : 0},
        {"cold", cold_left_ > 0},
        {"leaving", leaving_}};
    http_call call;
    call.endpoint = endpoint_text(target_);
    call.deadline = now + announce_timeout;
    call.request.method = "POST";
    call.request.target = "/v1/announce";
    call.request.body = json::serialize(body);
    if (redirected_)
        call.request.fields.push_back({"X-Redirected", "1"});
    client_.start(std::move(call),
                  [this, to = target_](http_outcome outcome) { on_announced(to, outcome); });
}

void upstream::schedule_announce()
{
    timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
                announce();
        });
}

void upstream::on_announced(std::string const& to, http_outcome const& outcome)
{
    instant const now = instant::clock::now();
    timer_.expires_after(retry_delay);
    boost::system::error_code code;
    json::value answer;
    if (outcome.response && outcome.response->status == 200)
        answer = json::parse(outcome.response->body, code);
    json::object const* object = answer.is_object() ? &answer.get_object() : nullptr;
    if (object == nullptr)
    {
        select_next_seed();
        return schedule_announce();
    }
    std::string const home_address(object->at("home_address").as_string());
    if (object->at("accepted").as_bool())
    {
        // The lease began when the home received the announcement, so this is an upper bound of
        // its end.
        lease_until_ = now + milliseconds(object->at("lease_ms").to_number<int>());
        if (home_ != to)
            acceptance_ = 0;
        home_ = to;
        home_name_ = std::string(object->at("home").as_string());
        redirected_ = false;
        // The lease starts only when the next announcement quotes this acceptance, so that one is
        // sent soon.
        timer_.expires_after(acceptance_ == 0 ? retry_delay : announce_interval);
        acceptance_ = object->at("acceptance").to_number<std::uint64_t>();
    }
    else if (!home_address.empty() && home_address != to)
    {
        // A home that hands this upstream over routes no new requests to it, but requests
        // routed earlier may still arrive until the lease ends.
        if (to == home_)
            lease_until_ = now + milliseconds(object->at("lease_ms").to_number<int>());
        target_ = home_address;
        redirected_ = true;
    }
    else
        select_next_seed();
    schedule_announce();
}

double upstream::draw_service_ms()
{
    std::exponential_distribution<double> tail(1.0);
    double const base = settings_.service_ms;
    double ms = base * (1 - settings_.spread) + base * settings_.spread * tail(random_);
    if (cold_left_ > 0)
    {
        --cold_left_;
        ms *= settings_.cold_factor;
    }
    return ms;
}

void upstream::on_request(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (request.target == "/stats")
    {
        json::object const body{
            {"name", settings_.name},         {"ran", totals_.ran},
            {"overruns", totals_.overruns},   {"doubled", totals_.doubled},
            {"cancelled", totals_.cancelled}, {"shed", totals_.shed},
            {"late_work", totals_.late_work}, {"max_in_flight", totals_.max_in_flight},
            {"in_flight", in_flight_}};
        return exchange->respond(json_response(200, json::serialize(body)));
    }
    auto item = std::make_shared<work>();
    item->exchange = std::move(exchange);
    item->request_id = std::string(request.field("X-Request-Id"));
    item->home = std::string(request.field("X-Home"));
    item->key = std::string(request.field("Idempotency-Key"));
    item->body = std::move(request.body);
    if (leaving_ && leaving_since_ + late_work_grace < instant::clock::now())
        ++totals_.late_work;
    bool const full = in_flight_ >= settings_.slots;
    if (full)
    {
        ++totals_.overruns;
        ++totals_.shed;
        http_response refusal = json_response(503, "{\"error\":\"no free slot\"}");
        refusal.fields.push_back({"X-Not-Started", "1"});
        refusal.fields.push_back({"X-Request-Id", item->request_id});
        return item->exchange->respond(std::move(refusal));
    }
    run(std::move(item));
}

void upstream::run(std::shared_ptr<work> item)
{
    ++in_flight_;
    ++in_flight_by_home_[item->home];
    totals_.max_in_flight = std::max<std::uint64_t>(totals_.max_in_flight, in_flight_);
    ++totals_.ran;
    if (!item->key.empty())
    {
        if (++ran_keys_[item->key] > 1)
            ++totals_.doubled;
        ledger_ << item->key << "\n" << std::flush;
    }
    item->timer = std::make_shared<boost::asio::steady_timer>(owner_.context());
    item->timer->expires_after(microseconds(static_cast<std::int64_t>(draw_service_ms() * 1000)));
    item->exchange->when_abandoned(
        [this, weak = std::weak_ptr<work>(item)]
        {
            auto const abandoned = weak.lock();
            // Keyed requests must run exactly once, so they finish even after the home host
            // disconnected; the others are cancelled.
            if (!abandoned || !abandoned->key.empty() || abandoned->done)
                return;
            ++totals_.cancelled;
            abandoned->timer->cancel();
        });
    item->timer->async_wait([this, item](boost::system::error_code) { finish(item); });
}

void upstream::finish(std::shared_ptr<work> const& item)
{
    item->done = true;
    --in_flight_;
    auto const at = in_flight_by_home_.find(item->home);
    if (--at->second == 0)
        in_flight_by_home_.erase(at);
    json::object const body{{"upstream", settings_.name}, {"echo", item->body}};
    http_response response = json_response(200, json::serialize(body));
    response.fields.push_back({"X-Request-Id", item->request_id});
    std::uniform_real_distribution<double> draw(0, 1);
    if (settings_.fault_share > 0 && draw(random_) < settings_.fault_share)
    {
        switch (random_() % 3)
        {
        case 0: // a response that carries another request's id
            response.fields.back().value = "0";
            break;
        case 1: // no response on an open connection
            return;
        default: // a server error, which the home cannot tell from a rejection before the start
            response.status = 500;
            break;
        }
    }
    item->exchange->respond(std::move(response));
}

} // namespace standin
