// Measures the throughput of look-ups over HTTP against that of a server with a fixed answer.
#include "entry/entry_front.hpp"
#include "figures.hpp"
#include "transport/http_client.hpp"

#include <algorithm>
#include <atomic>

namespace bench
{
using namespace guavashed;

namespace
{

constexpr int rounds = 7;
constexpr int connections = 16;
constexpr std::chrono::milliseconds round_time{700};

/// Answers each request with a fixed body, without a look-up. Given the body of a look-up's answer,
/// it costs what HTTP alone costs.
class bare_responder : public http_handler
{
public:
    explicit bare_responder(std::string body) : body_(std::move(body)) {}
    void on_request(http_request, std::shared_ptr<http_exchange> exchange) override
    {
        exchange->respond(json_response(200, body_));
    }

private:
    std::string body_;
};

/// Keeps `connections` requests in flight for one round. Returns the successful answers per second.
double requests_per_second(event_loop& client_event_loop, http_client& client,
                           std::string const& address)
{
    std::atomic<std::uint64_t> done{0};
    std::atomic<int> open{connections};
    instant const until = instant::clock::now() + round_time;
    std::function<void()> next = [&]
    {
        if (instant::clock::now() >= until)
        {
            --open;
            return;
        }
        http_call call;
        call.endpoint = endpoint_text(address);
        call.deadline = instant::clock::now() + std::chrono::seconds(5);
        call.request.target = "/v1/entry?client=10.1.2.3";
        client.start(std::move(call),
                     [&](http_outcome outcome)
                     {
                         if (outcome.response && outcome.response->status == 200)
                             ++done;
                         next();
                     });
    };
    boost::asio::post(client_event_loop.context(),
                      [&]
                      {
                          for (int i = 0; i < connections; ++i)
                              next();
                      });
    while (open > 0)
        std::this_thread::sleep_for(milliseconds(5));
    std::chrono::duration<double> const seconds = round_time;
    return static_cast<double>(done) / seconds.count();
}

} // namespace

void run_lookups()
{
    daemon_settings settings;
    settings.name = host_name("e0");
    settings.region = region_name("north");
    settings.controls = {{host_name("c0"), endpoint_text("127.0.0.1:1"), region_name("north"),
                          failure_domain_name("a")}};
    configuration config;
    region_config north;
    north.name = region_name("north");
    north.client_prefixes = {"10.1."};
    north.failure_domains = {failure_domain_name("a"), failure_domain_name("b")};
    config.regions = {north};
    view_push push;
    push.whole = true;
    for (int i = 0; i < 4; ++i)
    {
        host_row row;
        row.host = host_name("e" + std::to_string(i));
        row.region = north.name;
        row.domain = north.failure_domains[static_cast<std::size_t>(i) % 2];
        row.caller_endpoint = endpoint_text("127.0.0.1:" + std::to_string(20'000 + i));
        row.phase = host_phase::serving;
        push.changed.push_back(row);
    }
    fleet_view view;
    view.apply(push);
    steering_table table;
    table.rebuild(config, view);
    entry_front front(settings, table, [](front_event) { return false; });
    front.set_serving(true);
    bare_responder bare(front.lookup_body("10.1.2.3"));

    event_loop entry_event_loop("entry");
    event_loop bare_event_loop("bare");
    event_loop client_event_loop("client");
    http_server entry_server(entry_event_loop, front, {});
    http_server bare_server(bare_event_loop, bare, {});
    std::string const entry_address = "127.0.0.1:20901";
    std::string const bare_address = "127.0.0.1:20902";
    if (!entry_server.listen(endpoint_text(entry_address)) ||
        !bare_server.listen(endpoint_text(bare_address)))
        return;
    http_client client(client_event_loop);
    std::vector<double> ratios;
    double best_entry_rate = 0;
    // The two servers alternate, so that changes in the machine's load affect both; the median of
    // the ratios is reported.
    for (int i = 0; i < rounds; ++i)
    {
        double const entry_rate = requests_per_second(client_event_loop, client, entry_address);
        double const bare_rate = requests_per_second(client_event_loop, client, bare_address);
        ratios.push_back(entry_rate / bare_rate);
        best_entry_rate = std::max(best_entry_rate, entry_rate);
    }
    std::sort(ratios.begin(), ratios.end());
    print("lookup_throughput_ratio", ratios[ratios.size() / 2], "ratio");
    print("lookup_throughput_per_s", best_entry_rate, "1/s");
    client_event_loop.stop();
    entry_event_loop.stop();
    bare_event_loop.stop();
}

} // namespace bench
