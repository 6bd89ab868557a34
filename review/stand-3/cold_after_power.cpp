// All processes of the system lose their power while the backends of a zone are down; those come
// back cold. Shows whether a cold backend then gets more requests in a second than it tolerates.
#include "traffic.hpp"

#include <algorithm>

namespace
{

constexpr unsigned controls = 5;
constexpr unsigned entries = 79;
constexpr unsigned backend_count = 12;
/// As the first configuration and the settings state them.
constexpr double warmup_s = 3.0;
constexpr double warmup_per_s = 6.9;
constexpr double warmup_overshoot = 1.5;
constexpr double warmup_slack = 5;

stand::backend::settings backend_of(stand::platform const& fleet, unsigned i)
{
    stand::backend::settings of;
    of.service = i < 8 ? "picker-roster" : "vintage-archive";
    of.id = (i < 8 ? "i-roster-" : "i-archive-") + std::to_string(i);
    // Every other one is in the zone whose backends go down.
    of.zone = i % 2 == 0 ? "north-a" : "north-b";
    of.listen = fleet.backend_address(i);
    of.slots = 11;
    of.work_s = 0.12;
    return of;
}

/// Most requests that were sent by their clients, and that the backend began to run, within one and
/// the same second while it was cold.
unsigned most_in_a_second(stand::backend const& server,
                          std::map<std::string, stand::sent_request> const& sent)
{
    std::vector<std::pair<double, double>> spans;
    for (auto const& run : server.runs())
        if (auto const at = sent.find(run.id); run.was_cold && at != sent.end())
            spans.emplace_back(at->second.at, run.at);
    std::size_t most = 0;
    for (auto const& first : spans)
    {
        auto const inside =
            std::count_if(spans.begin(), spans.end(),
                          [&](auto const& span)
                          { return span.first >= first.first && span.second < first.first + 1; });
        most = std::max(most, static_cast<std::size_t>(inside));
    }
    return static_cast<unsigned>(most);
}

} // namespace

int main(int count, char** arguments)
{
    using namespace stand;
    if (count != 4)
        return 2;
    record log(arguments[3]);
    char const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";

    platform fleet(arguments[1], arguments[2], controls, entries);
    fleet.start_all(controls);
    int const configured = call_control(fleet, "PUT", "/v1/config", first_configuration(), 15);
    log.line("operator  PUT /v1/config status=" + std::to_string(configured));
    if (configured != 200 || !wait_ready(fleet, 15))
        return 2;
    std::vector<std::unique_ptr<backend>> backends;
    for (unsigned i = 0; i < backend_count; ++i)
        backends.push_back(std::make_unique<backend>(fleet, log, backend_of(fleet, i)));
    sleep_s(5);

    traffic clients(fleet, log, 700, 1, 210, 6);
    double const begin = now_s();
    std::thread sender([&] { clients.run(begin + 12); });
    sleep_s(4);
    for (auto& server : backends)
        if (server->of().zone == "north-b")
            server.reset();
    log.line("platform  the backends of north-b are down");
    double const down_at = now_s();
    if (trouble)
    {
        for (unsigned i = 0; i < controls; ++i)
            fleet.signal("core-" + std::to_string(i), SIGKILL);
        for (unsigned i = 0; i < entries; ++i)
            fleet.signal("edge-" + std::to_string(i), SIGKILL);
        log.line("platform  all machines have lost their power");
        sleep_s(0.92);
        for (unsigned i = 0; i < entries; ++i)
        {
            fleet.kill_and_wait("edge-" + std::to_string(i));
            fleet.start_entry(i);
        }
        for (unsigned i = 0; i < controls; ++i)
        {
            fleet.kill_and_wait("core-" + std::to_string(i));
            fleet.start_control(i, false);
        }
        log.line("platform  all machines start again");
    }
    // They come back when machines serve again, and no later than 4.5 s after they went down.
    sleep_s(down_at + 1.0 - now_s());
    for (unsigned i = 0; now_s() < down_at + 4.4; i = (i + 1) % entries)
    {
        auto const answer = call(fleet.readiness(i), "GET", "/v1/readiness", "", {}, 0.1);
        if (answer && answer->status() == 200)
            break;
        sleep_s(0.02);
    }
    std::vector<backend const*> cold;
    for (unsigned i = 0; i < backend_count; ++i)
    {
        if (backends[i])
            continue;
        backend::settings of = backend_of(fleet, i);
        of.id += "-again";
        of.cold_s = warmup_s;
        backends[i] = std::make_unique<backend>(fleet, log, of);
        cold.push_back(backends[i].get());
    }
    log.line("platform  the backends of north-b come back after " +
             std::to_string(now_s() - down_at) + " s, cold");
    sender.join();
    sleep_s(1);

    double const most_allowed = warmup_per_s * warmup_overshoot + warmup_slack;
    unsigned broken = 0;
    unsigned most = 0;
    unsigned runs_while_cold = 0;
    for (backend const* server : cold)
    {
        unsigned const here = most_in_a_second(*server, clients.sent());
        for (auto const& run : server->runs())
            runs_while_cold += run.was_cold ? 1 : 0;
        log.line("cold      " + server->of().id + " began to run at most " + std::to_string(here) +
                 " requests in one second; allowed are " + std::to_string(most_allowed));
        broken += here > most_allowed ? 1 : 0;
        most = std::max(most, here);
    }
    unsigned served = 0;
    for (auto const& [id, item] : clients.sent())
        served += item.status == 200 && item.is_signed ? 1 : 0;
    auto const ended = fleet.ended();
    std::string const result =
        "sent " + std::to_string(clients.sent().size()) + ", served " + std::to_string(served) +
        ", run by cold backends " + std::to_string(runs_while_cold) +
        ", most by one of them in a second " + std::to_string(most) + ", backends above " +
        std::to_string(most_allowed) + ": " + std::to_string(broken) +
        ", processes ended by themselves " + std::to_string(ended.size());
    log.line("result    " + result);
    std::printf("%s\n", result.c_str());
    if (!ended.empty() || served < clients.sent().size() / 3)
        return 2;
    return broken > 0 ? 1 : 0;
}
