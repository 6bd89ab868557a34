/// \file
/// Load generator that simulates many callers: resolves entry hosts, caches the lookups, sends
/// requests at given rates, retries keyed requests under the same idempotency key, and checks that
/// each response belongs to its request.
#include "arguments.hpp"
#include "transport/http_client.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <random>

namespace
{
namespace json = boost::json;
using namespace guavashed;

constexpr unsigned max_tries = 4;
constexpr std::size_t client_blocks = 200;

struct load
{
    std::string service;
    std::string kind;
    double per_second = 0;
    bool keyed = false;
    std::uint32_t deadline_ms = 2000;
};

struct tally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t in_deadline = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t failed = 0;
    std::uint64_t mixed = 0;
    std::vector<std::uint32_t> latency_us;
    /// When the last response that met its deadline was received.
    instant last_in_deadline;
};

/// Cached result of a client block's last entry lookup.
struct cached_lookup
{
    std::vector<std::string> entries;
    std::string key_prefix;
    instant valid_until;
    bool lookup_in_flight = false;
};

struct job
{
    std::size_t load = 0;
    std::size_t block = 0;
    std::string body;
    std::string key;
    instant sent;
    instant deadline;
    unsigned tries = 0;
    std::size_t entry = 0;
    /// False once an attempt ended with an outcome under which the request may have run.
    bool known_not_run = true;
};

class callers
{
public:
    callers(standin::arguments const& given, event_loop& owner)
        : owner_(owner), client_(owner),
          random_(static_cast<std::uint64_t>(given.number("seed", 1))),
          seeds_(given.list("entries")), prefixes_(given.list("prefixes")),
          until_(instant::clock::now() +
                 milliseconds(static_cast<std::int64_t>(given.number("duration-s", 5) * 1000))),
          blocks_(client_blocks)
    {
        for (auto const& text : given.list("load"))
            loads_.push_back(parse_load(text));
        tallies_.resize(loads_.size());
        if (auto const path = given.text("outcomes"); !path.empty())
            outcomes_.open(path, std::ios::app);
    }

    void start()
    {
        for (std::size_t i = 0; i < loads_.size(); ++i)
        {
            timers_.push_back(std::make_unique<boost::asio::steady_timer>(owner_.context()));
            next_.push_back(instant::clock::now());
            schedule(i);
        }
    }

    bool finished() const { return instant::clock::now() >= until_ && in_flight_ == 0; }

    /// Seconds from the start to the last response that met its deadline; 0 without one.
    double busy_seconds(tally const& t) const
    {
        if (t.last_in_deadline == instant())
            return 0;
        return std::chrono::duration<double>(t.last_in_deadline - started_).count();
    }

    json::object report()
    {
        json::object out;
        for (std::size_t i = 0; i < loads_.size(); ++i)
        {
            tally& t = tallies_[i];
            std::sort(t.latency_us.begin(), t.latency_us.end());
            auto const at = [&](double share)
            {
                if (t.latency_us.empty())
                    return 0.0;
                auto const last = static_cast<double>(t.latency_us.size() - 1);
                return t.latency_us[static_cast<std::size_t>(share * last)] / 1000.0;
            };
            out[loads_[i].service + "/" + loads_[i].kind] = json::object{
                {"sent", t.sent},       {"answered", t.answered},    {"in_deadline", t.in_deadline},
                {"not_run", t.not_run}, {"unknown", t.unknown},      {"failed", t.failed},
                {"mixed", t.mixed},     {"busy_s", busy_seconds(t)}, {"p50_ms", at(0.5)},
                {"p99_ms", at(0.99)},   {"max_ms", at(1.0)}};
        }
        return out;
    }

private:
    /// Parses "service/kind=RATE[:DEADLINE_MS[:keyed]]", RATE in requests per second.
    static load parse_load(std::string const& text)
    {
        load out;
        auto const slash = text.find('/');
        auto const equals = text.find('=');
        out.service = text.substr(0, slash);
        out.kind = text.substr(slash + 1, equals - slash - 1);
        std::string rest = text.substr(equals + 1);
        out.keyed = rest.ends_with(":keyed");
        out.per_second = std::stod(rest);
        if (auto const colon = rest.find(':'); colon != std::string::npos && rest[colon + 1] != 'k')
            out.deadline_ms = static_cast<std::uint32_t>(std::stoul(rest.substr(colon + 1)));
        return out;
    }

    void schedule(std::size_t i)
    {
        std::exponential_distribution<double> gap(loads_[i].per_second);
        next_[i] += microseconds(static_cast<std::int64_t>(gap(random_) * 1e6));
        timers_[i]->expires_at(timer_point(next_[i]));
        timers_[i]->async_wait(
            [this, i](boost::system::error_code code)
            {
                if (code || instant::clock::now() >= until_)
                    return;
                begin(i);
                schedule(i);
            });
    }

    void begin(std::size_t i)
    {
        auto item = std::make_shared<job>();
        item->load = i;
        item->block = random_() % client_blocks;
        item->body = "body-" + std::to_string(random_());
        item->sent = instant::clock::now();
        item->deadline = item->sent + milliseconds(loads_[i].deadline_ms);
        ++tallies_[i].sent;
        ++in_flight_;
        send_after_lookup(item, 0);
    }

    void send_after_lookup(std::shared_ptr<job> const& item, unsigned attempt)
    {
        cached_lookup& cached = blocks_[item->block];
        instant const now = instant::clock::now();
        if (now < cached.valid_until && !cached.entries.empty())
            return send(item);
        if (now >= item->deadline || attempt > 8)
            return close(item, "failed");
        std::string const client =
            prefixes_[item->block % prefixes_.size()] + std::to_string(item->block);
        http_call call;
        call.endpoint = endpoint_text(seeds_[random_() % seeds_.size()]);
        call.deadline = now + milliseconds(300);
        call.request.target = "/v1/entry?client=" + client;
        client_.start(std::move(call),
                      [this, item, attempt](http_outcome outcome)
                      {
                          if (outcome.response && outcome.response->status == 200)
                              store_lookup(item->block, outcome.response->body);
                          send_after_lookup(item, attempt + 1);
                      });
    }

    void store_lookup(std::size_t block, std::string const& body)
    {
        json::object const answer = json::parse(body).as_object();
        cached_lookup& cached = blocks_[block];
        cached.entries.clear();
        for (auto const& entry : answer.at("entries").as_array())
            cached.entries.emplace_back(entry.at("address").as_string());
        cached.key_prefix = std::string(answer.at("key_prefix").as_string());
        auto const valid = answer.at("valid_ms").to_number<std::int64_t>();
        cached.valid_until = instant::clock::now() + milliseconds(valid);
    }

    void send(std::shared_ptr<job> const& item)
    {
        cached_lookup const& cached = blocks_[item->block];
        load const& rules = loads_[item->load];
        if (rules.keyed && item->key.empty())
            item->key = cached.key_prefix + std::to_string(random_());
        instant const now = instant::clock::now();
        ++item->tries;
        http_call call;
        call.endpoint = endpoint_text(cached.entries[item->entry % cached.entries.size()]);
        // Waits beyond the request's deadline so that the outcome of keyed requests is recorded.
        call.deadline = item->deadline + milliseconds(500);
        call.request.method = "POST";
        call.request.target = "/v1/call/" + rules.service + "/" + rules.kind;
        call.request.body = item->body;
        call.request.fields = {{"X-Caller", "caller-" + std::to_string(item->block)},
                               {"X-Deadline-Ms", std::to_string(std::max<std::uint32_t>(
                                                     1, remaining_ms(item->deadline, now)))}};
        if (rules.keyed)
        {
            call.request.fields.push_back({"Idempotency-Key", item->key});
            call.request.fields.push_back({"X-Try", std::to_string(item->tries)});
        }
        client_.start(std::move(call),
                      [this, item](http_outcome outcome) { on_outcome(item, std::move(outcome)); });
    }

    void on_outcome(std::shared_ptr<job> const& item, http_outcome outcome)
    {
        tally& t = tallies_[item->load];
        instant const now = instant::clock::now();
        bool const keyed = loads_[item->load].keyed;
        std::string const reported =
            outcome.response ? std::string(outcome.response->field("X-Outcome")) : std::string();
        if (reported == "answer")
        {
            ++t.answered;
            if (now <= item->deadline)
            {
                ++t.in_deadline;
                t.last_in_deadline = now;
            }
            t.latency_us.push_back(static_cast<std::uint32_t>(
                std::chrono::duration_cast<microseconds>(now - item->sent).count()));
            if (outcome.response->body.find("\"" + item->body + "\"") == std::string::npos)
                ++t.mixed;
            return close(item, "answer");
        }
        bool const unsent = !outcome.response && outcome.stage == send_stage::unsent;
        if (reported != "not-run" && !unsent)
            item->known_not_run = false;
        bool const may_resend = now + milliseconds(50) < item->deadline &&
                                item->tries < max_tries &&
                                (!outcome.response || (keyed && reported == "unknown"));
        if (may_resend)
        {
            ++item->entry;
            auto timer = std::make_shared<boost::asio::steady_timer>(owner_.context());
            timer->expires_after(milliseconds(10 + random_() % 40));
            timer->async_wait([this, item, timer](boost::system::error_code) { send(item); });
            return;
        }
        if (reported == "not-run")
            ++t.not_run;
        else if (reported == "unknown")
            ++t.unknown;
        else
            ++t.failed;
        close(item, reported == "not-run" ? "not-run" : "unknown");
    }

    void close(std::shared_ptr<job> const& item, std::string const& outcome)
    {
        if (outcome == "failed")
            ++tallies_[item->load].failed;
        if (!item->key.empty() && outcomes_.is_open())
            outcomes_ << outcome << " " << item->key << "\n";
        --in_flight_;
    }

    event_loop& owner_;
    http_client client_;
    std::mt19937_64 random_;
    std::vector<std::string> seeds_;
    std::vector<std::string> prefixes_;
    instant started_ = instant::clock::now();
    instant until_;
    std::vector<load> loads_;
    std::vector<tally> tallies_;
    std::vector<cached_lookup> blocks_;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers_;
    std::vector<instant> next_;
    std::ofstream outcomes_;
    std::size_t in_flight_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    standin::arguments const given(argc, argv);
    event_loop owner("callers");
    auto all_callers = std::make_unique<callers>(given, owner);
    boost::asio::post(owner.context(), [&] { all_callers->start(); });
    bool finished = false;
    while (!finished)
    {
        std::this_thread::sleep_for(milliseconds(50));
        std::promise<bool> answer;
        boost::asio::post(owner.context(), [&] { answer.set_value(all_callers->finished()); });
        finished = answer.get_future().get();
    }
    owner.stop();
    std::cout << json::serialize(all_callers->report()) << std::endl;
    return 0;
}
