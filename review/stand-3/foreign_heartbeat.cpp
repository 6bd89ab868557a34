// A heartbeat of another writer, from which a field is missing, arrives for the id of a running
// backend. Shows whether requests are then run by a service to which no configuration lets them go.
#include "traffic.hpp"

int main(int count, char** arguments)
{
    using namespace stand;
    if (count != 4)
        return 2;
    std::string const binary = arguments[1];
    record log(arguments[3]);
    char const* const trouble_text = std::getenv("TROUBLE");
    bool const trouble = trouble_text == nullptr || std::string(trouble_text) != "0";

    platform fleet(binary, arguments[2], 3, 2);
    fleet.start_all(3);
    int const configured = call_control(fleet, "PUT", "/v1/config", first_configuration(), 15);
    log.line("operator  PUT /v1/config status=" + std::to_string(configured));
    if (configured != 200 || !wait_ready(fleet, 15))
        return 2;
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
    sleep_s(4);

    traffic clients(fleet, log, 40, 1);
    double const begin = now_s();
    std::thread sender([&] { clients.run(begin + 25); });
    sleep_s(8);
    double const written = now_s();
    backend const& victim = *backends[4];
    if (trouble)
    {
        // Without "version"; its writer counts its calls itself.
        std::string const beat =
            "{\"address\":\"" + victim.of().listen.text() +
            "\",\"born\":" + std::to_string(victim.born_ms()) +
            ",\"info\":{\"service\":\"picker-roster\",\"zone\":\"" + victim.of().zone +
            "\",\"concurrency_limit\":4},\"status\":{\"state\":\"ready\",\"sequence\":5000,"
            "\"warmup_left_ms\":0}}";
        int const status =
            call_control(fleet, "PUT", "/v1/instances/" + victim.of().id, beat, 5, 1);
        log.line("writer    PUT /v1/instances/" + victim.of().id +
                 " status=" + std::to_string(status) + " " + beat);
    }
    sender.join();
    sleep_s(1);

    // A service may run only what the first configuration, the only one, lets go to it.
    auto const sent = clients.sent();
    unsigned served = 0;
    for (auto const& [id, item] : sent)
        served += item.status == 200 && item.is_signed ? 1 : 0;
    unsigned wrong = 0;
    unsigned wrong_unsafe = 0;
    unsigned victim_own_after = 0;
    for (auto const& server : backends)
        for (auto const& run : server->runs())
        {
            bool const is_history = run.target.rfind("/history/", 0) == 0;
            bool const allowed = is_history == (server->of().service == "vintage-archive");
            if (server.get() == &victim && is_history && run.at > written + 3)
                ++victim_own_after;
            if (allowed || sent.count(run.id) == 0)
                continue;
            ++wrong;
            wrong_unsafe += run.method == "POST" ? 1 : 0;
            log.line("wrong     id=" + run.id + " " + run.method + " " + run.target +
                     " run by service " + server->of().service + " on " + server->of().id);
        }
    auto const ended = fleet.ended();
    log.line("result    sent=" + std::to_string(sent.size()) + " served=" + std::to_string(served) +
             " run_by_wrong_service=" + std::to_string(wrong) +
             " of_them_unsafe=" + std::to_string(wrong_unsafe) + " own_requests_of_" +
             victim.of().id + "_later=" + std::to_string(victim_own_after) +
             " processes_ended=" + std::to_string(ended.size()));
    std::printf("sent %zu, served %u, run by a service that no configuration allows: %u "
                "(%u of them unsafe)\n",
                sent.size(), served, wrong, wrong_unsafe);
    if (sent.size() < 500 || served < sent.size() / 2)
        return 2;
    return wrong > 0 ? 1 : 0;
}
