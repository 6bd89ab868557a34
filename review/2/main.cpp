// EVAC: an order to end an evacuation is applied once more by a control host that was frozen when
// it was sent, after a later evacuation of the same zone was acknowledged.
#include "deployment.hpp"

#include <atomic>
#include <csignal>
#include <thread>

namespace
{
using namespace review;

constexpr char const* zone = "north-b";
constexpr int freeze_ms = 4000;
constexpr int observed_ms = 1500;
constexpr unsigned rounds = 9;
constexpr unsigned upstreams = 8;

/// Sends safe requests to one entry host over kept connections, 25 a second.
void send_requests(std::string const& address, std::string const& prefix,
                   std::atomic<bool> const& stop, std::atomic<unsigned>& sent,
                   std::atomic<unsigned>& served)
{
    connection link;
    for (unsigned i = 0; !stop; ++i)
    {
        if (!link.is_open() && !link.open(address, milliseconds(1000)))
        {
            sleep_ms(100);
            continue;
        }
        ++sent;
        bool const passed =
            link.send("GET /check/" + std::to_string(i) + " HTTP/1.1\r\nHost: roster.example\r\n" +
                      "X-Guavashed-Request-Id: " + prefix + std::to_string(i) +
                      "\r\nX-Guavashed-Request-Deadline: 2000\r\n\r\n");
        auto const reply = passed ? link.read(milliseconds(2000)) : http_reply{};
        if (reply.status == 200)
            ++served;
        if (reply.status == 0 || reply.field("Connection") == "close")
            link.close();
        sleep_ms(40);
    }
}

/// Requests that reached the zone between `from` and `until`.
unsigned arrivals(std::vector<std::unique_ptr<standin::platform_upstream>> const& servers,
                  guavashed::instant from, guavashed::instant until,
                  guavashed::instant acknowledged, record& log)
{
    unsigned found = 0;
    for (unsigned i = 0; i < upstreams; ++i)
    {
        if (deployment::zone_of(i) != zone)
            continue;
        for (auto const& arrival : servers[i]->record().arrivals)
        {
            if (arrival.at < from || arrival.at > until)
                continue;
            ++found;
            double const after = std::chrono::duration<double>(arrival.at - acknowledged).count();
            log.line("request " + arrival.id + " reached " + servers[i]->id() + " in " + zone +
                     ", " + std::to_string(after) +
                     " s after the acknowledgement of its evacuation");
        }
    }
    return found;
}

int run(std::string const& binary, std::string const& folder, record& log)
{
    deployment_options options;
    options.folder = folder;
    options.binary = binary;
    deployment fleet(options, log);
    std::vector<std::unique_ptr<standin::platform_upstream>> servers;
    if (!fleet.start())
        return 2;
    for (unsigned i = 0; i < upstreams; ++i)
    {
        servers.push_back(std::make_unique<standin::platform_upstream>(fleet.upstream_settings(i)));
        if (!servers.back()->start())
            return 2;
    }
    sleep_ms(2500);
    if (!fleet.wait_ready(10))
        return 2;

    std::atomic<bool> stop{false};
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> served{0};
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < options.edges; ++i)
        clients.emplace_back(
            [&, i] {
                send_requests(fleet.edge_address(i), "c" + std::to_string(i) + "-", stop, sent,
                              served);
            });
    auto const finish = [&](int code)
    {
        stop = true;
        for (auto& client : clients)
            client.join();
        return code;
    };

    std::string const target = std::string("/v1/evacuation/") + zone;
    unsigned late = 0;
    for (unsigned round = 0; round < rounds && late == 0; ++round)
    {
        auto const leader = fleet.leader();
        if (!leader)
            return finish(2);
        unsigned const frozen = *leader;
        unsigned const other = (frozen + 1) % options.controls;
        if (fleet.order(other, "POST", target, "", milliseconds(5000)) != 200)
            return finish(2);
        sleep_ms(500);
        if (trouble())
        {
            log.line("freeze " + deployment::control_name(frozen) + ", which leads");
            fleet.processes().signal(deployment::control_name(frozen), SIGSTOP);
        }
        auto const frozen_at = clock::now();
        // The operator picks the frozen host first, and moves on after a second without a response.
        if (fleet.order(frozen, "DELETE", target, "", milliseconds(5000)) != 200)
            return finish(2);
        if (fleet.order(other, "POST", target, "", milliseconds(5000)) != 200)
            return finish(2);
        auto const acknowledged = guavashed::instant::clock::now();
        log.line("the second evacuation of " + std::string(zone) + " is acknowledged");
        std::this_thread::sleep_until(frozen_at + milliseconds(freeze_ms));
        if (trouble())
        {
            log.line("thaw " + deployment::control_name(frozen));
            fleet.processes().signal(deployment::control_name(frozen), SIGCONT);
        }
        // All machines are in touch from `contact` after the thaw.
        auto const from =
            std::max(acknowledged + evacuate_bound, guavashed::instant::clock::now() + contact);
        std::this_thread::sleep_for(from - guavashed::instant::clock::now());
        sleep_ms(observed_ms);
        auto const until = guavashed::instant::clock::now();
        unsigned const found = arrivals(servers, from, until, acknowledged, log);
        log.line("round " + std::to_string(round + 1) + ": " + std::to_string(found) +
                 " requests in the evacuated zone after the bounds");
        late += found;
        // Takes the evacuation back, so that the zone is as it was before the round.
        if (fleet.order(other, "DELETE", target, "", milliseconds(5000)) != 200)
            return finish(2);
        sleep_ms(500);
    }
    finish(0);

    log.line("sent " + std::to_string(sent) + ", served " + std::to_string(served) +
             ", requests in the evacuated zone after the bound: " + std::to_string(late));
    if (served < sent / 2 || served == 0)
        return 2;
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return guarded_main(argc, argv, run);
}
