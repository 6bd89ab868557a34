// Fault: servers whose spoiled responses never end in the line of a chunk's size make entry hosts
// buffer without bound, until they exceed their memory limit.
#include "raw_upstream.hpp"

#include <csignal>

namespace
{
using namespace review;

// Doses of `garble` in mauri-gelee, and the bandwidth of an entry host's link.
constexpr unsigned upstreams = 5;
constexpr unsigned spoiling_upstreams = 3;
constexpr unsigned spoiled_one_in = 20;
constexpr double link_bytes_per_s = 1000e6 / 8;
constexpr double spoiled_bytes_per_s = link_bytes_per_s * 0.95;
/// A part of the body that is in order; an entry host accepts 16 MiB.
constexpr std::size_t whole_chunk_bytes = 15 * 1000 * 1000;
constexpr unsigned ends_to_fail = 3;
constexpr unsigned machines_to_fail = 2;
constexpr milliseconds burst_length{5500};
constexpr milliseconds burst_pause{1500};
constexpr unsigned bursts = 12;

std::atomic<bool> spoiling{false};
std::atomic<unsigned> spoiled{0};
std::mutex busy_mutex;
/// Entry hosts that receive a spoiled response at the moment: one at a time, so that their links
/// carry no more than they can.
std::set<std::string> busy;

/// Sends a head, one chunk, and then a chunk's size line without end, until the caller closes.
bool respond_without_end(raw_request const& request, int socket)
{
    ++spoiled;
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", whole_chunk_bytes);
    bool open =
        raw_upstream::write(socket, "HTTP/1.1 200 OK\r\nX-Guavashed-Request-Id: " + request.id +
                                        "\r\nX-Guavashed-Response-Signature: s-" + request.id +
                                        "\r\nTransfer-Encoding: chunked\r\n\r\n" + size);
    std::string const piece(250000, 'x');
    auto const start = clock::now();
    std::size_t sent = 0;
    while (open && spoiling)
    {
        open = raw_upstream::write(socket, piece);
        sent += piece.size();
        if (sent == whole_chunk_bytes)
            open = open && raw_upstream::write(socket, "\r\n5;");
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(
                        static_cast<double>(sent) / spoiled_bytes_per_s)));
    }
    std::lock_guard const guard(busy_mutex);
    busy.erase(request.caller);
    return false;
}

bool respond(raw_request const& request, int socket)
{
    bool spoils = spoiling && request.number % spoiled_one_in == 0;
    if (spoils)
    {
        std::lock_guard const guard(busy_mutex);
        spoils = busy.insert(request.caller).second;
    }
    if (spoils)
        return respond_without_end(request, socket);
    return raw_upstream::write(socket, raw_upstream::sound_response(request));
}

struct counts
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> cut{0};
};

/// Sends requests to one entry host over a kept connection, `unsafe` ones to /confirm/.
void send_requests(std::string const& address, std::string const& prefix, bool unsafe,
                   std::atomic<bool> const& stop, counts& seen)
{
    connection link;
    for (unsigned i = 0; !stop; ++i)
    {
        if (!link.is_open() && !link.open(address, milliseconds(1000)))
        {
            sleep_ms(50);
            continue;
        }
        ++seen.sent;
        std::string const start = unsafe ? "POST /confirm/" : "GET /check/";
        bool const passed =
            link.send(start + std::to_string(i) + " HTTP/1.1\r\nHost: roster.example\r\n" +
                      "X-Guavashed-Request-Id: " + prefix + std::to_string(i) +
                      "\r\nX-Guavashed-Request-Deadline: 4000\r\n" +
                      (unsafe ? "Content-Length: 2\r\n\r\n{}" : "\r\n"));
        auto const reply = passed ? link.read(milliseconds(4000)) : http_reply{};
        if (reply.status == 200)
            ++seen.served;
        if (reply.status == 0)
            ++seen.cut;
        if (reply.status == 0 || reply.field("Connection") == "close")
            link.close();
        sleep_ms(20);
    }
}

/// The most memory that the process has had resident.
std::size_t peak_bytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
    return 0;
}

/// Does what the platform does to entry hosts: ends a process that exceeds its memory limit, and
/// restarts processes that have ended. Returns how often each ended.
std::vector<unsigned> watch(deployment& fleet, record& log, clock::time_point until)
{
    std::size_t const limit = fleet.options().memory_mb * std::size_t{1024 * 1024};
    unsigned const edges = fleet.options().edges;
    std::vector<unsigned> ends(edges);
    while (clock::now() < until)
    {
        for (unsigned i = 0; i < edges; ++i)
        {
            std::string const name = deployment::edge_name(i);
            auto const bytes = peak_bytes(fleet.processes().id_of(name));
            if (bytes > limit)
            {
                log.line(name + " uses " + std::to_string(bytes / 1024 / 1024) + " of " +
                         std::to_string(fleet.options().memory_mb) + " MiB and is ended");
                fleet.processes().signal(name, SIGKILL);
                fleet.processes().await(name, 5);
            }
            if (fleet.processes().running(name))
                continue;
            ++ends[i];
            sleep_ms(200);
            fleet.start_edge(i);
        }
        sleep_ms(4);
    }
    return ends;
}

int run(std::string const& binary, std::string const& folder, record& log)
{
    deployment_options options;
    options.folder = folder;
    options.binary = binary;
    // As that of the route frost-history.
    options.route_timeout_ms = 1500;
    deployment fleet(options, log);
    if (!fleet.start())
        return 2;
    std::vector<std::unique_ptr<raw_upstream>> servers;
    for (unsigned i = 0; i < upstreams; ++i)
    {
        raw_upstream::responder const sound = [](raw_request const& request, int socket)
        { return raw_upstream::write(socket, raw_upstream::sound_response(request)); };
        servers.push_back(
            std::make_unique<raw_upstream>(fleet, i, i < spoiling_upstreams ? respond : sound));
        if (!servers.back()->start())
            return 2;
    }
    sleep_ms(2500);
    if (!fleet.wait_ready(10))
        return 2;

    std::atomic<bool> stop{false};
    counts seen;
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < options.edges * 4; ++i)
        clients.emplace_back(
            [&, i]
            {
                send_requests(fleet.edge_address(i % options.edges),
                              std::string("c").append(std::to_string(i)).append("-"), i % 4 == 3,
                              stop, seen);
            });
    watch(fleet, log, clock::now() + std::chrono::seconds(5));
    unsigned const served_before = seen.served;
    log.line("served before the trouble: " + std::to_string(served_before) + " of " +
             std::to_string(seen.sent));
    unsigned const cut_before = seen.cut;
    log.line(trouble() ? "3 of 5 servers spoil 1 in 20 of their responses, in bursts of 5.5 s"
                       : "no trouble");
    std::vector<unsigned> ends(options.edges);
    for (unsigned burst = 0; burst < bursts; ++burst)
        for (bool const active : {true, false})
        {
            spoiling = active && trouble();
            auto const more =
                watch(fleet, log, clock::now() + (active ? burst_length : burst_pause));
            for (unsigned i = 0; i < options.edges; ++i)
                ends[i] += more[i];
        }
    for (unsigned i = 0; i < options.edges; ++i)
        log.line(deployment::edge_name(i) + " ended " + std::to_string(ends[i]) +
                 " times; at last " +
                 std::to_string(peak_bytes(fleet.processes().id_of(deployment::edge_name(i))) /
                                1024 / 1024) +
                 " MiB were its peak");
    stop = true;
    for (auto& client : clients)
        client.join();
    log.line("sent " + std::to_string(seen.sent) + ", served " + std::to_string(seen.served) +
             ", connections closed without an answer " + std::to_string(seen.cut - cut_before) +
             ", responses spoiled " + std::to_string(spoiled));
    if (served_before == 0)
        return 2;
    unsigned machines = 0;
    for (unsigned const count : ends)
        machines += count >= ends_to_fail ? 1 : 0;
    return machines >= machines_to_fail ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    return guarded_main(argc, argv, run);
}
