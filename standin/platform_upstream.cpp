// Announcements, the queue and the simulated execution of platform_upstream.
#include "platform_upstream.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <future>

namespace standin
{
using namespace guavashed;

namespace
{

constexpr milliseconds announcement_timeout{1000};
constexpr double warmup_slowdown = 2;
/// For requests that state no time left.
constexpr int default_time_left_ms = 30000;

http_response refusal(std::string const& id)
{
    return {503, {{"X-Guavashed-Request-Id", id}, {"X-Guavashed-Not-Executed", "1"}}, ""};
}

std::vector<std::string> access_fields_of(http_request const& request)
{
    std::vector<std::string> out;
    for (auto const& field : request.fields)
        if (boost::algorithm::iequals(field.name, "Api-Key") ||
            boost::algorithm::iequals(field.name, "X-Guavashed-Tenant"))
            out.push_back(field.name + ": " + field.value);
    return out;
}

milliseconds time_left(http_request const& request)
{
    std::string const value(request.field("X-Guavashed-Request-Deadline"));
    return milliseconds(value.empty() ? default_time_left_ms : std::stoi(value));
}

} // namespace

std::string file_of(std::string const& request_id, std::size_t bytes)
{
    std::string out;
    out.reserve(bytes + request_id.size() + 20);
    for (std::size_t line = 0; out.size() < bytes; ++line)
        out += request_id + " line " + std::to_string(line) + "\n";
    out.resize(bytes);
    return out;
}

platform_upstream::platform_upstream(platform_upstream_settings settings)
    : settings_(std::move(settings)), start_wall_ms_(wall_ms(std::chrono::system_clock::now())),
      started_(instant::clock::now()), random_(settings_.seed)
{
    record_.upstream = settings_.id;
}

platform_upstream::~platform_upstream()
{
    crash();
}

result<void> platform_upstream::start()
{
    event_loop_ = std::make_unique<event_loop>("upstream");
    server_ = std::make_unique<http_server>(*event_loop_, *this, http_server_limits{});
    client_ = std::make_unique<http_client>(*event_loop_);
    timer_ = std::make_unique<boost::asio::steady_timer>(event_loop_->context());
    BOOST_OUTCOME_TRY(server_->listen(endpoint_text(settings_.listen)));
    boost::asio::post(event_loop_->context(), [this] { announce(); });
    return boost::outcome_v2::success();
}

void platform_upstream::drain()
{
    boost::asio::post(event_loop_->context(),
                      [this]
                      {
                          draining_ = true;
                          announce();
                      });
}

void platform_upstream::state_leaving()
{
    boost::asio::post(event_loop_->context(), [this] { states_leaving_ = true; });
}

void platform_upstream::pause(instant until)
{
    boost::asio::post(event_loop_->context(), [this, until] { paused_until_ = until; });
}

void platform_upstream::crash()
{
    if (!event_loop_)
        return;
    event_loop_->stop();
    waiting_.clear();
    // Breaks the reference cycle: each exchange's abandon handler owns the work that owns it.
    for (auto const& item : pending_)
        item->exchange.reset();
    pending_.clear();
    timer_.reset();
    client_.reset();
    server_.reset();
    event_loop_.reset();
}

platform_upstream_record platform_upstream::record() const
{
    std::lock_guard const guard(mutex_);
    return record_;
}

std::string platform_upstream::announcement() const
{
    auto const up = std::chrono::duration_cast<milliseconds>(instant::clock::now() - started_);
    auto const cold_left = std::max<std::int64_t>(0, settings_.warmup_ms - up.count());
    return "{\"address\":\"" + settings_.announced +
           "\",\"born\":" + std::to_string(start_wall_ms_) + ",\"info\":{\"service\":\"" +
           settings_.service + "\",\"version\":\"v1\",\"zone\":\"" + settings_.domain +
           "\",\"concurrency_limit\":" + std::to_string(settings_.slots) +
           "},\"status\":{\"state\":\"" + (draining_ ? "draining" : "ready") +
           "\",\"sequence\":" + std::to_string(sequence_) +
           ",\"warmup_left_ms\":" + std::to_string(cold_left) + "}}";
}

void platform_upstream::announce()
{
    ++sequence_;
    http_call call;
    call.endpoint = endpoint_text(settings_.controls[control_index_ % settings_.controls.size()]);
    call.request.method = "PUT";
    call.request.target = "/v1/instances/" + settings_.id;
    call.request.body = announcement();
    call.deadline = instant::clock::now() + announcement_timeout;
    client_->start(std::move(call),
                   [this, announced_draining = draining_](http_outcome const& outcome)
                   {
                       bool const accepted = outcome.response && outcome.response->status == 200;
                       if (!accepted)
                           ++control_index_;
                       else if (announced_draining)
                       {
                           std::lock_guard const guard(mutex_);
                           if (!record_.drain_acknowledged)
                               record_.drain_acknowledged = instant::clock::now();
                       }
                       schedule_announcement();
                   });
}

void platform_upstream::schedule_announcement()
{
    timer_->expires_after(milliseconds(settings_.announce_interval_ms));
    timer_->async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
                announce();
        });
}

std::string platform_upstream::load() const
{
    return std::to_string(running_) + "," + std::to_string(waiting_.size()) + "," +
           std::to_string(settings_.slots);
}

bool platform_upstream::draw(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

http_response platform_upstream::with_statements(http_response answer) const
{
    if (states_leaving_)
        answer.fields.push_back({"Server-Leaving", "1"});
    return answer;
}

bool platform_upstream::reject_for_pause(std::string const& id, http_exchange& exchange)
{
    instant const now = instant::clock::now();
    if (now >= paused_until_ && draw(settings_.pause_share))
        paused_until_ = now + milliseconds(std::uniform_int_distribution<unsigned>(
                                  settings_.least_pause_ms, settings_.most_pause_ms)(random_));
    if (now >= paused_until_)
        return false;
    {
        std::lock_guard const guard(mutex_);
        record_.arrivals.push_back({id, now, false, states_leaving_, paused_until_, {}});
    }
    double const seconds = std::chrono::duration<double>(paused_until_ - now).count();
    exchange.respond(with_statements({503,
                                      {{"X-Guavashed-Request-Id", id},
                                       {"X-Guavashed-Not-Executed", "1"},
                                       {"Retry-After", std::to_string(seconds)}},
                                      ""}));
    return true;
}

void platform_upstream::on_request(http_request request, std::shared_ptr<http_exchange> exchange)
{
    std::string const id(request.field("X-Guavashed-Request-Id"));
    if (request.field("X-Guavashed-Target-Instance") != settings_.id)
    {
        std::lock_guard const guard(mutex_);
        ++record_.misdirected;
        return exchange->respond(
            {421, {{"X-Guavashed-Request-Id", id}, {"X-Guavashed-Instance-Id", settings_.id}}, ""});
    }
    if (reject_for_pause(id, *exchange))
        return;
    auto item = std::make_shared<work>();
    item->id = id;
    item->is_file = request.target.starts_with(file_prefix);
    item->deadline = instant::clock::now() + time_left(request);
    item->exchange = std::move(exchange);
    bool const full = (running_ >= settings_.slots && waiting_.size() >= settings_.queue) ||
                      draw(settings_.shed_share);
    {
        std::lock_guard const guard(mutex_);
        item->arrival = record_.arrivals.size();
        record_.arrivals.push_back(
            {id, instant::clock::now(), false, states_leaving_, {}, access_fields_of(request)});
    }
    if (full)
        return item->exchange->respond(with_statements(refusal(id)));
    item->exchange->when_abandoned(
        [this, item]
        {
            item->abandoned = true;
            pending_.erase(item);
            std::lock_guard const guard(mutex_);
            ++record_.cancelled;
        });
    pending_.insert(item);
    if (running_ < settings_.slots)
        start_work(item);
    else
        waiting_.push_back(item);
}

void platform_upstream::start_work(std::shared_ptr<work> const& item)
{
    ++running_;
    {
        std::lock_guard const guard(mutex_);
        record_.arrivals[item->arrival].ran = true;
    }
    double took = settings_.work_ms;
    if (instant::clock::now() < started_ + milliseconds(settings_.warmup_ms))
        took *= warmup_slowdown;
    item->timer = std::make_unique<boost::asio::steady_timer>(event_loop_->context());
    item->timer->expires_after(microseconds(static_cast<std::int64_t>(took * 1000)));
    item->timer->async_wait(
        [this, item](boost::system::error_code code)
        {
            if (!code)
                finish(item);
        });
}

void platform_upstream::start_waiting()
{
    while (!waiting_.empty() && running_ < settings_.slots)
    {
        auto const next = waiting_.front();
        waiting_.pop_front();
        if (next->abandoned)
            continue;
        if (instant::clock::now() < next->deadline)
        {
            start_work(next);
            continue;
        }
        pending_.erase(next);
        next->exchange->respond(with_statements(refusal(next->id)));
    }
}

void platform_upstream::finish(std::shared_ptr<work> const& item)
{
    --running_;
    start_waiting();
    bool const lost = draw(settings_.unanswered_share);
    if (item->abandoned || lost)
        return;
    pending_.erase(item);
    item->exchange->respond(with_statements(
        {200,
         {{"X-Guavashed-Request-Id", item->id},
          {"X-Guavashed-Response-Signature", "s-" + item->id},
          {"X-Guavashed-Server-Load", load()}},
         item->is_file ? file_of(item->id, settings_.file_bytes) : "answer to " + item->id}));
}

} // namespace standin
