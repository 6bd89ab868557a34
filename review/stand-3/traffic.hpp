/// \file
/// Clients and an operator for the scripts of the third review.
#pragma once

#include "stand.hpp"

#include <random>

namespace stand
{

/// The first configuration: two services, and a route for each kind of request of the site.
inline std::string first_configuration()
{
    auto const route = [](std::string const& prefix, std::string const& kind,
                          std::string const& service, int aim_ms, int timeout_ms, int priority)
    {
        return "{\"host\":\"estates.example\",\"path_prefix\":\"" + prefix +
               "\",\"route_type\":\"" + kind + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
               ",\"target_latency_ms\":" + std::to_string(aim_ms) +
               ",\"priority\":" + std::to_string(priority) + ",\"service\":\"" + service +
               "\",\"max_attempts\":2,\"session_affinity\":true,\"allowed_regions\":[]}";
    };
    std::string const service = "{\"health_path\":\"/health\",\"max_connections\":390,"
                                "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
                                "\"warmup_per_s\":6.9}";
    return "{\"version\":\"r1\",\"base_version\":\"r0\",\"routes\":{\"roster-check\":" +
           route("/check/", "safe", "picker-roster", 400, 1000, 0) +
           ",\"crew-confirm\":" + route("/confirm/", "unsafe", "picker-roster", 400, 1200, 1) +
           ",\"frost-history\":" + route("/history/", "safe", "vintage-archive", 1200, 1500, 2) +
           "},\"services\":{\"picker-roster\":" + service + ",\"vintage-archive\":" + service +
           "},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

struct sent_request
{
    double at = 0;
    std::string method;
    std::string target;
    /// 0 without a complete answer.
    int status = 0;
    std::string body;
    bool is_signed = false;
};

/// Clients that ask the directory where to connect, and send each request on a new connection.
class traffic
{
public:
    traffic(platform const& fleet, record& log, unsigned per_s, std::uint64_t seed,
            unsigned clients = 12, unsigned zones = 1)
        : fleet_(fleet), log_(log), per_s_(per_s), seed_(seed), clients_(clients), zones_(zones)
    {
    }
    /// Sends requests of all kinds in turn until `until`, and returns when all have ended.
    void run(double until)
    {
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < clients_; ++i)
            threads.emplace_back([this, i, until] { client(i, clients_, until); });
        for (auto& thread : threads)
            thread.join();
    }
    std::map<std::string, sent_request> const& sent() const { return sent_; }

private:
    std::vector<address> resolve(std::mt19937_64& random, std::string const& zone)
    {
        for (unsigned i = 0; i < 3; ++i)
        {
            auto const answer =
                call(fleet_.directory(static_cast<unsigned>(random() % fleet_.controls())), "GET",
                     "/v1/resolve?name=estates.example&region=" + zone.substr(0, zone.find('-')) +
                         "&zone=" + zone,
                     "");
            std::vector<address> out;
            if (!answer || answer->status() != 200)
                continue;
            for (unsigned entry = 0; entry < fleet_.entries(); ++entry)
                if (answer->body.find("\"" + fleet_.entry(entry).text() + "\"") !=
                    std::string::npos)
                    out.push_back(fleet_.entry(entry));
            if (!out.empty())
                return out;
        }
        return {};
    }
    void client(unsigned number, unsigned clients, double until)
    {
        std::mt19937_64 random(seed_ * 1000 + number);
        std::vector<address> entries;
        double resolved = -10;
        double next = now_s() + static_cast<double>(number) / per_s_;
        for (unsigned i = number; now_s() < until; i += clients)
        {
            sleep_s(std::max(0.0, next - now_s()));
            next += static_cast<double>(clients) / per_s_;
            if (now_s() > resolved + 2)
            {
                auto found = resolve(random, platform::zone_of(number % zones_));
                log_.line("lookup    by client " + std::to_string(number) + ": " +
                          std::to_string(found.size()) + " entry machines");
                if (!found.empty())
                    entries = std::move(found);
                resolved = now_s();
            }
            if (!entries.empty())
                send(i, entries[random() % entries.size()], random);
        }
    }
    void send(unsigned i, address const& to, std::mt19937_64& random)
    {
        static char const* const methods[] = {"GET", "POST", "GET"};
        static char const* const prefixes[] = {"/check/", "/confirm/", "/history/"};
        static int const deadlines[] = {2000, 2500, 4000};
        unsigned const kind = i % 3;
        char id[32];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random()));
        sent_request item;
        item.at = now_s();
        item.method = methods[kind];
        item.target = prefixes[kind] + std::to_string(random() % 40);
        std::string const body = kind == 1 ? "crew " + std::string(id) : "";
        {
            std::lock_guard const guard(mutex_);
            sent_[id] = item;
        }
        log_.line("sent      id=" + std::string(id) + " to=" + to.text() + " " + item.method + " " +
                  item.target);
        std::string const head =
            item.method + " " + item.target + " HTTP/1.1\r\nHost: estates.example\r\n" +
            "X-Guavashed-Request-Id: " + id +
            "\r\nX-Guavashed-Request-Deadline: " + std::to_string(deadlines[kind]) +
            "\r\nCookie: X-Guavashed-Affinity-Key=" + std::to_string(random() % 40) +
            "\r\nConnection: close\r\n" +
            (kind == 1 ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" +
            body;
        connection line;
        double const limit = now_s() + deadlines[kind] / 1000.0;
        if (line.open(to, 1) && line.write(head, 1))
            if (auto const answer = read_message(line, limit))
            {
                item.status = answer->status();
                item.body = answer->body;
                item.is_signed = !answer->field("x-guavashed-response-signature").empty();
            }
        log_.line("answered  id=" + std::string(id) + " status=" + std::to_string(item.status) +
                  (item.is_signed ? " signed body=\"" + item.body + "\"" : ""));
        std::lock_guard const guard(mutex_);
        sent_[id] = item;
    }

    platform const& fleet_;
    record& log_;
    unsigned per_s_;
    std::uint64_t seed_;
    unsigned clients_;
    /// Zones that have clients.
    unsigned zones_;
    std::mutex mutex_;
    std::map<std::string, sent_request> sent_;
};

} // namespace stand
