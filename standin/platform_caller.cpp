// Lookups, request generation and response checks of platform_caller.
#include "platform_caller.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <thread>

namespace standin
{
using namespace guavashed;

namespace
{

constexpr milliseconds lookup_interval{500};
constexpr milliseconds lookup_timeout{1000};
constexpr milliseconds connect_timeout{1000};

} // namespace

platform_caller::platform_caller(platform_caller_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed), entries_(settings_.entries),
      event_loop_("caller"), client_(event_loop_), timer_(event_loop_.context())
{
}

platform_caller::~platform_caller()
{
    event_loop_.stop();
}

void platform_caller::start()
{
    boost::asio::post(event_loop_.context(), [this] { tick(); });
}

void platform_caller::tick()
{
    if (stopping_)
        return;
    if (settings_.entries.empty() && instant::clock::now() >= next_lookup_)
        look_up();
    if (!entries_.empty())
        send();
    timer_.expires_after(microseconds(1000000 / settings_.per_s));
    timer_.async_wait(
        [this](boost::system::error_code code)
        {
            if (!code)
                tick();
        });
}

void platform_caller::look_up()
{
    next_lookup_ = instant::clock::now() + lookup_interval;
    http_call call;
    call.endpoint = endpoint_text(
        settings_.lookup_addresses[lookup_index_++ % settings_.lookup_addresses.size()]);
    call.request.target = "/v1/resolve?name=" + settings_.host + "&region=" + settings_.region +
                          "&zone=" + settings_.domain;
    call.deadline = instant::clock::now() + lookup_timeout;
    client_.start(std::move(call),
                  [this](http_outcome const& outcome)
                  {
                      if (!outcome.response || outcome.response->status != 200)
                          return;
                      boost::json::error_code code;
                      auto const body = boost::json::parse(outcome.response->body, code);
                      if (code || !body.is_object() || !body.as_object().contains("addresses"))
                          return;
                      entries_.clear();
                      for (auto const& item : body.at("addresses").as_array())
                          entries_.emplace_back(item.as_string());
                  });
}

void platform_caller::send()
{
    std::string const id =
        "r" + std::to_string(settings_.seed) + "-" + std::to_string(++last_request_);
    bool const once = random_() % 3 == 0;
    std::string const entry = entries_[random_() % entries_.size()];
    http_call call;
    call.endpoint = endpoint_text(entry);
    call.request.method = once ? "POST" : "GET";
    call.request.target = (once ? settings_.unsafe_prefix : settings_.idempotent_prefix) + id;
    call.request.fields = {
        {"Host", settings_.host},
        {"X-Guavashed-Request-Id", id},
        {"X-Guavashed-Request-Deadline", std::to_string(settings_.deadline_ms)},
        {"Cookie",
         "X-Guavashed-Affinity-Key=" + std::to_string(random_() % settings_.affinity_key_count)}};
    std::string const key = keys_.empty() ? "" : keys_[key_random_() % keys_.size()];
    if (!key.empty())
        call.request.fields.insert(call.request.fields.end(),
                                   {{"Api-Key", key}, {"X-Guavashed-Tenant", "forged"}});
    call.request.body = once ? "confirm " + id : "";
    call.deadline = instant::clock::now() + milliseconds(settings_.deadline_ms);
    call.connect_by = instant::clock::now() + connect_timeout;
    {
        std::lock_guard const guard(mutex_);
        platform_call& record = calls_[id];
        record.at_most_once = once;
        record.at = instant::clock::now();
        record.entry = entry;
        record.key = key;
        ++in_flight_;
    }
    client_.start(std::move(call),
                  [this, id](http_outcome const& outcome) { on_answer(id, outcome); });
}

void platform_caller::on_answer(std::string const& id, http_outcome const& outcome)
{
    std::lock_guard const guard(mutex_);
    platform_call& record = calls_[id];
    --in_flight_;
    record.sent = outcome.stage == send_stage::sent;
    record.took_ms =
        std::chrono::duration<double, std::milli>(instant::clock::now() - record.at).count();
    if (!outcome.response)
        return;
    http_response const& answer = *outcome.response;
    record.status = answer.status;
    record.verified_response = answer.status == 200 && answer.body == "answer to " + id &&
                               answer.field("X-Guavashed-Response-Signature") == "s-" + id;
}

void platform_caller::finish()
{
    boost::asio::post(event_loop_.context(), [this] { stopping_ = true; });
    auto const until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (std::chrono::steady_clock::now() < until)
    {
        {
            std::lock_guard const guard(mutex_);
            if (in_flight_ == 0)
                return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

std::map<std::string, platform_call> platform_caller::calls() const
{
    std::lock_guard const guard(mutex_);
    return calls_;
}

} // namespace standin
