// Parses the command line and the environment, and validates the settings.
#include "daemon/settings.hpp"

#include "base/endpoint.hpp"
#include "entry/fleet_view.hpp"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <set>
#include <sstream>

#ifndef GUAVASHED_CHART_FOLDER
#    define GUAVASHED_CHART_FOLDER "charts"
#endif

namespace guavashed
{
namespace
{

constexpr std::size_t min_key_length = 16;
constexpr std::size_t max_key_length = 256;
constexpr std::size_t max_claim_recorders = 3;
constexpr std::size_t max_name_length = 64;

char const usage[] = R"(guavashedd: daemon of the guavashed traffic steering system.

Usage:
  guavashedd [options]
  guavashedd --help
  guavashedd --version

Options:
  --name=NAME               Name of this host, unique in the fleet.
  --region=REGION           Region of this host.
  --domain=DOMAIN           Failure domain of this host.
  --role=ROLE               entry or control; a host with both roles runs two processes.
  --caller-listen=IP:PORT   Address for callers and upstreams (role entry).
  --peer-listen=IP:PORT     Address for other processes of the system.
  --operator-listen=IP:PORT Address for operators and metrics collection.
  --controls=LIST           Control hosts: NAME=IP:PORT/REGION/DOMAIN, comma separated.
  --data=DIR                Data directory (role control).
  --charts=DIR              Directory of the state charts.
  --cluster-key-file=FILE   File with the key shared by all processes of the system.
  --operator-key-file=FILE  File with the key that operators authenticate with.
  --policy=NAME             ranked; strict or arrival for comparison. [default: ranked]
  --lookup-validity-ms=N    How long callers may cache a response, 500 to 600000. [default: 5000]
  --key-retention-s=N       Retention time of idempotency keys, 10 to 86400. [default: 600]
  --check                   Validate the settings and exit.
  --help                    Print this help text.
  --version                 Print the version.

Each option may also be given as an environment variable: --peer-listen as GUAVASHED_PEER_LISTEN.
A flag takes precedence over its environment variable.
)";

char const version_text[] = "guavashedd 0.1.0";

/// A setting's unparsed value and its source, which errors name.
struct setting_value
{
    std::string name;
    std::string text;
    std::string source;
};

error setting_error(setting_value const& value, std::string const& allowed)
{
    return fail(error_code::invalid_setting, "read settings", value.source,
                "--" + value.name + " is \"" + value.text + "\", allowed: " + allowed);
}

std::string variable_name(std::string const& name)
{
    std::string out = "GUAVASHED_";
    for (char const c : name)
        out.push_back(c == '-' ? '_'
                               : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    return out;
}

using option_values = decltype(docopt::docopt_parse({}, {}));

/// Looks up settings: the flag, else the environment variable, else the default.
class setting_reader
{
public:
    setting_reader(option_values options, std::vector<std::string> const& arguments)
        : options_(std::move(options)), arguments_(arguments)
    {
    }

    setting_value find(std::string const& name) const
    {
        docopt::value const& flag = options_.at("--" + name);
        std::string const text = flag.isString() ? flag.asString() : std::string();
        if (given_as_flag(name))
            return {name, text, "flag"};
        std::string const variable = variable_name(name);
        if (char const* value = std::getenv(variable.c_str()))
            return {name, value, "environment variable " + variable};
        return {name, text, "default"};
    }

    result<std::string> identifier(std::string const& name) const
    {
        auto const value = find(name);
        bool const allowed_characters = std::all_of(
            value.text.begin(), value.text.end(),
            [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
        if (value.text.empty() || value.text.size() > max_name_length || !allowed_characters)
            return setting_error(value, "1 to 64 letters, digits, '-', '_' or '.'");
        return value.text;
    }

    result<endpoint_text> endpoint(std::string const& name) const
    {
        auto const value = find(name);
        endpoint_text const text(value.text);
        if (!parse_endpoint(text))
            return setting_error(value,
                                 "IP:PORT with a numeric IP address and a port from 1 to 65535");
        return text;
    }

    result<std::int64_t> number(std::string const& name, std::int64_t low, std::int64_t high) const
    {
        auto const value = find(name);
        std::int64_t number = 0;
        char const* const end = value.text.data() + value.text.size();
        auto const parsed = std::from_chars(value.text.data(), end, number);
        if (parsed.ec != std::errc{} || parsed.ptr != end || number < low || number > high)
            return setting_error(value, "an integer from " + std::to_string(low) + " to " +
                                            std::to_string(high));
        return number;
    }

    bool flag(std::string const& name) const { return options_.at("--" + name).asBool(); }

private:
    bool given_as_flag(std::string const& name) const
    {
        std::string const flag = "--" + name;
        return std::any_of(arguments_.begin(), arguments_.end(),
                           [&](std::string const& argument)
                           { return argument == flag || argument.starts_with(flag + "="); });
    }

    option_values options_;
    std::vector<std::string> const& arguments_;
};

std::vector<std::string> split(std::string const& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
        parts.push_back(part);
    return parts;
}

result<control_host> parse_control(std::string const& text, setting_value const& setting)
{
    char const* const allowed = "NAME=IP:PORT/REGION/DOMAIN, comma separated, names distinct";
    auto const equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
        return setting_error(setting, allowed);
    auto const parts = split(text.substr(equals + 1), '/');
    if (parts.size() != 3 || parts[1].empty() || parts[2].empty())
        return setting_error(setting, allowed);
    control_host out{host_name(text.substr(0, equals)), endpoint_text(parts[0]),
                     region_name(parts[1]), failure_domain_name(parts[2])};
    if (!parse_endpoint(out.peer_endpoint))
        return setting_error(setting, allowed);
    return out;
}

result<std::vector<control_host>> read_controls(setting_reader const& reader)
{
    auto const value = reader.find("controls");
    std::vector<control_host> out;
    std::set<host_name> names;
    for (auto const& part : split(value.text, ','))
    {
        BOOST_OUTCOME_TRY(auto item, parse_control(part, value));
        if (!names.insert(item.host).second)
            return setting_error(value, "a list with distinct control host names");
        out.push_back(std::move(item));
    }
    if (out.empty())
        return setting_error(value, "at least one NAME=IP:PORT/REGION/DOMAIN");
    return out;
}

result<dispatch_policy> read_policy(setting_reader const& reader)
{
    auto const value = reader.find("policy");
    if (value.text == "ranked")
        return dispatch_policy::ranked;
    if (value.text == "strict")
        return dispatch_policy::strict;
    if (value.text == "arrival")
        return dispatch_policy::arrival;
    return setting_error(value, "ranked, strict or arrival");
}

result<void> read_role(setting_reader const& reader, daemon_settings& out)
{
    auto const value = reader.find("role");
    out.entry = value.text == "entry";
    out.control = value.text == "control";
    if (!out.entry && !out.control)
        return setting_error(value, "entry or control");
    return boost::outcome_v2::success();
}

result<daemon_settings> check_settings(setting_reader const& reader)
{
    daemon_settings out;
    BOOST_OUTCOME_TRY(read_role(reader, out));
    BOOST_OUTCOME_TRY(auto const name, reader.identifier("name"));
    out.name = host_name(name);
    BOOST_OUTCOME_TRY(auto const region, reader.identifier("region"));
    out.region = region_name(region);
    BOOST_OUTCOME_TRY(auto const domain, reader.identifier("domain"));
    out.domain = failure_domain_name(domain);
    if (out.entry)
    {
        BOOST_OUTCOME_TRY(out.caller_listen, reader.endpoint("caller-listen"));
    }
    BOOST_OUTCOME_TRY(out.peer_listen, reader.endpoint("peer-listen"));
    BOOST_OUTCOME_TRY(out.operator_listen, reader.endpoint("operator-listen"));
    BOOST_OUTCOME_TRY(out.controls, read_controls(reader));
    BOOST_OUTCOME_TRY(out.policy, read_policy(reader));
    BOOST_OUTCOME_TRY(auto const validity, reader.number("lookup-validity-ms", 500, 600'000));
    out.lookup_validity = milliseconds(validity);
    BOOST_OUTCOME_TRY(auto const retention, reader.number("key-retention-s", 10, 86'400));
    out.key_retention = std::chrono::seconds(retention);
    auto const charts = reader.find("charts");
    out.chart_folder = charts.text.empty() ? GUAVASHED_CHART_FOLDER : charts.text;
    auto const data = reader.find("data");
    out.data_folder = data.text;
    if (out.control && out.data_folder.empty())
        return setting_error(data, "a directory path (required for role control)");
    bool const listed =
        std::any_of(out.controls.begin(), out.controls.end(),
                    [&](control_host const& item) { return item.host == out.name; });
    if (out.control && !listed)
        return setting_error(reader.find("controls"), "a list that contains this host, " +
                                                          out.name.value() +
                                                          " (required for role control)");
    BOOST_OUTCOME_TRY(out.cluster_key,
                      read_key_file(reader.find("cluster-key-file").text, "cluster-key-file"));
    BOOST_OUTCOME_TRY(out.operator_key,
                      read_key_file(reader.find("operator-key-file").text, "operator-key-file"));
    out.check_only = reader.flag("check");
    return out;
}

} // namespace

result<std::string> read_key_file(std::string const& path, std::string const& setting)
{
    std::ifstream file(path);
    std::string line;
    if (path.empty() || !file || !std::getline(file, line))
        return fail(error_code::invalid_setting, "read key file", path,
                    "--" + setting + " must name a readable file whose first line is the key");
    if (line.size() < min_key_length || line.size() > max_key_length)
        return fail(error_code::invalid_setting, "read key file", path,
                    "key length must be 16 to 256 characters, got " + std::to_string(line.size()));
    return line;
}

result<parsed_settings> read_settings(std::vector<std::string> const& arguments)
{
    parsed_settings out;
    try
    {
        auto options = docopt::docopt_parse(usage, arguments, true, true);
        setting_reader const reader(std::move(options), arguments);
        BOOST_OUTCOME_TRY(out.settings, check_settings(reader));
        return out;
    }
    catch (docopt::DocoptExitHelp const&)
    {
        out.print = {usage, 0};
    }
    catch (docopt::DocoptExitVersion const&)
    {
        out.print = {std::string(version_text) + "\n", 0};
    }
    catch (std::exception const& problem)
    {
        return fail(error_code::invalid_setting, "read command line", "flag",
                    std::string(problem.what()) + "; see guavashedd --help");
    }
    out.print_only = true;
    return out;
}

std::vector<host_name> choose_recorders(std::vector<control_host> const& controls,
                                        region_name const& region)
{
    std::vector<control_host const*> ordered;
    ordered.reserve(controls.size());
    for (auto const& item : controls)
        ordered.push_back(&item);
    std::uint64_t const seed = stable_hash(region.value());
    auto const in_other_region = [&](control_host const* item) { return item->region != region; };
    std::sort(ordered.begin(), ordered.end(),
              [&](control_host const* a, control_host const* b)
              {
                  if (in_other_region(a) != in_other_region(b))
                      return in_other_region(b);
                  return mix_hash(stable_hash(a->host.value()), seed) <
                         mix_hash(stable_hash(b->host.value()), seed);
              });
    std::vector<host_name> out;
    std::set<failure_domain_name> domains;
    for (auto const* item : ordered)
    {
        if (out.size() == max_claim_recorders)
            break;
        if (domains.insert(item->domain).second)
            out.push_back(item->host);
    }
    return out;
}

} // namespace guavashed
