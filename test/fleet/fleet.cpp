// Starts, configures and stops the processes of a test deployment.
#include "fleet.hpp"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

namespace fleet_test
{
namespace json = boost::json;

namespace
{

// Port ranges, as offsets from the deployment's base port.
constexpr unsigned control_peer_offset = 0;
constexpr unsigned control_operator_offset = 50;
constexpr unsigned entry_caller_offset = 100;
constexpr unsigned entry_peer_offset = 150;
constexpr unsigned entry_operator_offset = 200;
constexpr unsigned upstream_offset = 300;

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

fleet::fleet(fleet_options options) : options_(std::move(options)), processes_(options_.work_folder)
{
    deployment_ = json::parse(read_file(options_.example_folder + "/deployment.json")).as_object();
    if (options_.base_port == 0)
        options_.base_port = deployment_.at("base_port").to_number<unsigned>();
    std::filesystem::remove_all(options_.work_folder);
    std::filesystem::create_directories(options_.work_folder);
    std::ofstream(path("cluster.key")) << "cluster-key-for-loopback\n";
    std::ofstream(path("operator.key")) << "operator-key-for-loopback\n";
    auto const per_domain = deployment_.at("entries_per_domain").to_number<unsigned>();
    auto const& regions = deployment_.at("regions").as_array();
    std::vector<location> domains;
    for (auto const& item : regions)
    {
        auto const& region = item.as_object();
        for (auto const& domain : region.at("domains").as_array())
        {
            location const where{std::string(region.at("name").as_string()),
                                 std::string(domain.as_string())};
            domains.push_back(where);
            for (unsigned i = 0; i < per_domain; ++i)
            {
                entry_names_.push_back("e" + std::to_string(entry_names_.size()));
                entry_locations_.push_back(where);
            }
        }
    }
    place_controls(domains);
    unsigned first = 0;
    for (auto const& item : deployment_.at("services").as_array())
    {
        auto const& service = item.as_object();
        auto const count = service.at("upstreams").to_number<unsigned>();
        for (std::size_t d = 0; d < domains.size(); ++d)
        {
            group out;
            out.where = domains[d];
            out.service = std::string(service.at("name").as_string());
            out.first = first;
            out.count = static_cast<unsigned>(count / domains.size() +
                                              (d < count % domains.size() ? 1 : 0));
            out.slots = service.at("slots").to_number<unsigned>();
            out.service_ms = service.at("service_ms").to_number<double>();
            first += out.count;
            group_names_.push_back(out.service + "-" + out.where.domain);
            groups_.push_back(out);
        }
    }
}

void fleet::place_controls(std::vector<location> const& domains)
{
    std::size_t const wanted = options_.controls == 0 ? domains.size() : options_.controls;
    // Takes the first failure domain of each region, then the second of each, and so on.
    std::vector<location> left = domains;
    while (control_locations_.size() < wanted && !left.empty())
    {
        std::set<std::string> regions;
        std::vector<location> later;
        for (auto const& item : left)
            if (control_locations_.size() < wanted && regions.insert(item.region).second)
                control_locations_.push_back(item);
            else
                later.push_back(item);
        left = later;
    }
    for (std::size_t i = 0; i < control_locations_.size(); ++i)
        control_names_.push_back("c" + std::to_string(i));
}

std::string fleet::path(std::string const& file) const
{
    return options_.work_folder + "/" + file;
}

std::string fleet::data_folder(unsigned control) const
{
    return path("data-" + control_names_[control]);
}

std::string fleet::address(unsigned offset) const
{
    return "127.0.0.1:" + std::to_string(options_.base_port + offset);
}

std::string fleet::controls_setting() const
{
    std::string out;
    for (unsigned i = 0; i < controls(); ++i)
        out += (i == 0 ? "" : ",") + control_names_[i] + "=" + address(control_peer_offset + i) +
               "/" + control_locations_[i].region + "/" + control_locations_[i].domain;
    return out;
}

std::string fleet::seeds() const
{
    std::string out;
    for (unsigned i = 0; i < entries(); ++i)
        out += (i == 0 ? "" : ",") + address(entry_caller_offset + i);
    return out;
}

void fleet::spawn(std::string const& name, std::string const& binary,
                  std::vector<std::string> const& arguments)
{
    processes_.spawn(name, binary, arguments);
}

std::vector<std::string> fleet::common_arguments(std::string const& name,
                                                 location const& where) const
{
    return {"--name=" + name,
            "--region=" + where.region,
            "--domain=" + where.domain,
            "--controls=" + controls_setting(),
            "--cluster-key-file=" + path("cluster.key"),
            "--operator-key-file=" + path("operator.key")};
}

void fleet::start_control(unsigned i)
{
    auto arguments = common_arguments(control_names_[i], control_locations_[i]);
    arguments.push_back("--role=control");
    arguments.push_back("--peer-listen=" + address(control_peer_offset + i));
    arguments.push_back("--operator-listen=" + address(control_operator_offset + i));
    arguments.push_back("--data=" + data_folder(i));
    spawn(control_names_[i], options_.binary_folder + "/guavashedd", arguments);
}

void fleet::start_entry(unsigned i)
{
    auto arguments = common_arguments(entry_names_[i], entry_locations_[i]);
    arguments.push_back("--role=entry");
    arguments.push_back("--caller-listen=" + address(entry_caller_offset + i));
    arguments.push_back("--peer-listen=" + address(entry_peer_offset + i));
    arguments.push_back("--operator-listen=" + address(entry_operator_offset + i));
    arguments.push_back("--policy=" + options_.policy);
    arguments.push_back("--lookup-validity-ms=" + std::to_string(options_.lookup_validity_ms));
    spawn(entry_names_[i], options_.binary_folder + "/guavashedd", arguments);
}

void fleet::start_upstreams(unsigned i)
{
    group const& item = groups_[i];
    spawn(group_names_[i], options_.binary_folder + "/standin/standin-upstream",
          {"--name=" + group_names_[i], "--service=" + item.service,
           "--region=" + item.where.region, "--domain=" + item.where.domain,
           "--address=" + address(upstream_offset + item.first),
           "--count=" + std::to_string(item.count), "--slots=" + std::to_string(item.slots),
           "--service-ms=" + std::to_string(item.service_ms * options_.service_scale),
           "--cold-factor=" + std::to_string(options_.cold_factor),
           "--cold-work=" + std::to_string(options_.cold_work),
           "--fault-share=" + std::to_string(options_.fault_share), "--seeds=" + seeds(),
           "--ledger=" + path("ledger"), "--seed=" + std::to_string(options_.seed + i)});
}

std::string fleet::operators() const
{
    std::string out;
    for (unsigned i = 0; i < controls(); ++i)
        out += (i == 0 ? "" : ",") + address(control_operator_offset + i);
    return out;
}

std::string fleet::entry_operator_address(unsigned i) const
{
    return address(entry_operator_offset + i);
}

std::string fleet::entry_caller_address(unsigned i) const
{
    return address(entry_caller_offset + i);
}

pid_t fleet::process_id(std::string const& name) const
{
    return processes_.id_of(name);
}

std::string fleet::tool(std::vector<std::string> const& arguments, int* code)
{
    static unsigned calls = 0;
    std::string const name = "tool-" + std::to_string(calls++);
    std::vector<std::string> all{"--operators=" + operators(),
                                 "--operator-key-file=" + path("operator.key")};
    all.insert(all.end(), arguments.begin(), arguments.end());
    spawn(name, options_.binary_folder + "/guavashed", all);
    int const exit_code = await(name);
    if (code != nullptr)
        *code = exit_code;
    std::string const out = output(name);
    if (code == nullptr && exit_code != 0)
        std::cerr << read_file(path(name + ".log"));
    return out;
}

json::object fleet::status()
{
    boost::system::error_code code;
    int exit_code = 0;
    json::value const value = json::parse(tool({"--json", "status"}, &exit_code), code);
    return value.is_object() ? value.get_object() : json::object();
}

bool fleet::wait_until(double limit_s, bool (*ready)(fleet&))
{
    auto const until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(int(limit_s * 1000));
    while (std::chrono::steady_clock::now() < until)
    {
        if (ready(*this))
            return true;
        pause_ms(100);
    }
    return false;
}

namespace
{

bool all_hosts_serve(fleet& item)
{
    json::object const status = item.status();
    if (!status.contains("hosts") || status.at("hosts").as_array().size() != item.entries())
        return false;
    for (auto const& host : status.at("hosts").as_array())
        if (host.as_object().at("phase").as_string() != "serving")
            return false;
    return true;
}

bool all_slots_usable(fleet& item)
{
    json::object const status = item.status();
    if (!status.contains("regions"))
        return false;
    std::uint64_t wanted = 0;
    for (auto const& service : item.deployment().at("services").as_array())
        wanted += service.as_object().at("upstreams").to_number<std::uint64_t>();
    std::uint64_t slots = 0;
    for (auto const& region : status.at("regions").as_array())
        slots += region.as_object().at("slots").to_number<std::uint64_t>();
    return slots >= wanted;
}

} // namespace

bool fleet::start()
{
    for (unsigned i = 0; i < controls(); ++i)
        start_control(i);
    for (unsigned i = 0; i < entries(); ++i)
        start_entry(i);
    for (unsigned i = 0; i < upstream_groups(); ++i)
        start_upstreams(i);
    int code = 1;
    for (int attempt = 0; attempt < 20 && code != 0; ++attempt)
    {
        tool({"--out=" + path("plan.json"), "plan", options_.example_folder + "/intent.json"},
             &code);
        if (code != 0)
            pause_ms(200);
    }
    if (code != 0)
        return false;
    tool({"confirm", path("plan.json")}, &code);
    if (code != 0)
        return false;
    if (!wait_until(20, all_hosts_serve) || !wait_until(20, all_slots_usable))
        return false;
    // A process that could not listen has ended, for example because another deployment holds its
    // port.
    for (auto const* names : {&control_names_, &entry_names_, &group_names_})
        for (auto const& name : *names)
            if (await(name, 0) != -1000)
            {
                std::cerr << name << " ended during start-up: " << read_file(path(name + ".log"));
                return false;
            }
    return true;
}

void fleet::start_load(std::string const& name, std::vector<std::string> const& loads,
                       double duration_s, std::uint64_t seed)
{
    std::string joined;
    for (auto const& load : loads)
        joined += (joined.empty() ? "" : ",") + load;
    std::string prefixes;
    for (auto const& region : deployment_.at("regions").as_array())
        prefixes += (prefixes.empty() ? "" : ",") +
                    std::string(region.as_object().at("prefix").as_string());
    std::filesystem::remove(path(name + ".out"));
    spawn(name, options_.binary_folder + "/standin/standin-caller",
          {"--entries=" + seeds(), "--prefixes=" + prefixes, "--load=" + joined,
           "--duration-s=" + std::to_string(duration_s), "--seed=" + std::to_string(seed),
           "--outcomes=" + path("outcomes")});
}

json::object fleet::await_load(std::string const& name)
{
    await(name, 120);
    boost::system::error_code code;
    json::value const value = json::parse(output(name), code);
    return value.is_object() ? value.get_object() : json::object();
}

void fleet::signal(std::string const& name, int number)
{
    processes_.signal(name, number);
}

int fleet::await(std::string const& name, double limit_s)
{
    return processes_.await(name, limit_s);
}

bool fleet::running(std::string const& name)
{
    return processes_.running(name);
}

std::string fleet::output(std::string const& name) const
{
    return processes_.output(name);
}

unsigned fleet::stop_gracefully()
{
    unsigned bad = 0;
    for (auto const* names : {&group_names_, &entry_names_, &control_names_})
    {
        for (auto const& name : *names)
            if (running(name))
                signal(name, SIGTERM);
        for (auto const& name : *names)
            if (processes_.started(name))
            {
                int const code = await(name);
                if (code != 0)
                {
                    ++bad;
                    std::cerr << name << " ended with exit code or negated signal " << code << "\n"
                              << read_file(path(name + ".log"));
                }
            }
    }
    return bad;
}

} // namespace fleet_test
