// A core machine is lost for good while the whole system starts for the first time, and an empty
// one replaces it. Shows whether the other machines ever serve.
#include "traffic.hpp"

int main(int count, char** arguments)
{
    using namespace stand;
    if (count != 4)
        return 2;
    record log(arguments[3]);
    char const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";

    // Five core machines, and a spare one.
    platform fleet(arguments[1], arguments[2], 6, 2);
    fleet.start_all(5);
    double const lost_at = now_s();
    if (trouble)
    {
        fleet.kill_and_wait("core-2");
        log.line("platform  core-2 has lost its power for good");
        sleep_s(2);
        fleet.set_seeds({0, 1, 5});
        fleet.start_control(5, false);
        log.line("platform  core-5 starts, empty, in its place");
    }
    std::vector<std::unique_ptr<backend>> backends;
    for (unsigned i = 0; i < 8; ++i)
    {
        backend::settings of;
        of.service = i < 4 ? "picker-roster" : "vintage-archive";
        of.id = (i < 4 ? "i-roster-" : "i-archive-") + std::to_string(i % 4);
        of.zone = platform::zone_of(i % 4);
        of.listen = fleet.backend_address(i);
        backends.push_back(std::make_unique<backend>(fleet, log, of));
    }
    int configured = 0;
    double configured_after = 0;
    std::thread operator_calls(
        [&]
        {
            configured = call_control(fleet, "PUT", "/v1/config", first_configuration(), 70);
            configured_after = now_s() - lost_at;
            log.line("operator  PUT /v1/config status=" + std::to_string(configured) + " after " +
                     std::to_string(configured_after) + " s");
        });
    sleep_s(8);
    traffic clients(fleet, log, 20, 1);
    clients.run(now_s() + 62);
    operator_calls.join();

    unsigned served = 0;
    for (auto const& [id, item] : clients.sent())
        served += item.status == 200 && item.is_signed ? 1 : 0;
    unsigned beats = 0;
    for (auto const& server : backends)
        beats += server->acknowledged_beats();
    auto const ended = fleet.ended();
    std::string const result =
        "configuration status " + std::to_string(configured) + " after " +
        std::to_string(configured_after) + " s, heartbeats acknowledged " + std::to_string(beats) +
        ", requests sent " + std::to_string(clients.sent().size()) + ", served " +
        std::to_string(served) + ", processes ended by themselves " + std::to_string(ended.size());
    log.line("result    " + result);
    std::printf("%s\n", result.c_str());
    if (!ended.empty())
        return 2;
    return served == 0 ? 1 : 0;
}
