/// \file
/// The operator command-line tool: plan, confirm, drain, status, history, explain and reports.
#include "base/text_file.hpp"
#include "daemon/settings.hpp"
#include "reports/burn_report.hpp"
#include "transport/operator_client.hpp"

#include <boost/json.hpp>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

namespace
{
namespace json = boost::json;
using namespace guavashed;

constexpr int exit_ok = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr int exit_degraded = 4;
constexpr std::chrono::seconds in_force_timeout{10};
constexpr milliseconds in_force_poll_interval{50};

char const usage[] = R"(guavashed: operator tool of the guavashed traffic steering system.

Usage:
  guavashed [options] plan INTENT [--out=PLAN]
  guavashed [options] confirm PLAN
  guavashed [options] drain (upstream|host) NAME [--out=PLAN]
  guavashed [options] undrain (upstream|host) NAME [--out=PLAN]
  guavashed [options] configuration
  guavashed [options] status
  guavashed [options] history
  guavashed [options] explain [SUBJECT]
  guavashed [options] report burn [--html]
  guavashed completion
  guavashed --help
  guavashed --version

Options:
  --operators=LIST         Operator endpoints of control hosts, IP:PORT, comma separated.
  --operator-key-file=FILE File with the key that operators authenticate with.
  --json                   Print JSON.
  --out=PLAN               File to write the plan to. [default: plan.json]
  --html                   Print one self-contained HTML page.
  --help                   Print this help text.
  --version                Print the version.

--operators and --operator-key-file may also be given as GUAVASHED_OPERATORS and
GUAVASHED_OPERATOR_KEY_FILE.

Exit codes: 0 success; 1 rejected; 2 invalid arguments or input; 3 no control host reachable;
4 (status) the fleet is degraded.
)";

using option_values = decltype(docopt::docopt_parse({}, {}));

/// Thrown to end the command with a message and an exit code; caught in main.
struct command_failure
{
    int exit_code;
    std::string message;
};

std::string option_or_variable(option_values const& options, char const* flag, char const* variable)
{
    auto const& value = options.at(flag);
    if (value.isString())
        return value.asString();
    char const* const text = std::getenv(variable);
    if (text == nullptr)
        throw command_failure{exit_usage, std::string(flag) + " or " + variable + " is required"};
    return text;
}

std::vector<endpoint_text> parse_operators(std::string const& list)
{
    std::vector<endpoint_text> out;
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');)
        out.emplace_back(item);
    return out;
}

std::string read_file(std::string const& path)
{
    auto text = read_text_file(path);
    if (!text)
        throw command_failure{exit_usage, "cannot open " + path};
    return std::move(*text);
}

void write_file(std::string const& path, std::string const& text)
{
    std::ofstream file(path);
    file << text << "\n";
    if (!file.flush())
        throw command_failure{exit_usage, "cannot write " + path};
}

json::object parse_object(std::string const& text, std::string const& label)
{
    boost::system::error_code code;
    json::value const value = json::parse(text, code);
    if (code || !value.is_object())
        throw command_failure{exit_usage, label + " is not a JSON object"};
    return value.get_object();
}

json::object ask(operator_client& client, std::string const& method, std::string const& path,
                 std::string const& body = {})
{
    auto const answer = client.ask_control(method, path, body);
    if (!answer)
        throw command_failure{exit_unreachable, to_string(answer.error())};
    if (answer.value().status != 200)
        throw command_failure{exit_refused, answer.value().body};
    return parse_object(answer.value().body, "the response");
}

std::string new_operation_id()
{
    std::random_device device;
    std::ostringstream out;
    for (int i = 0; i < 4; ++i)
        out << std::hex << std::setw(8) << std::setfill('0') << device();
    return out.str();
}

std::string text_of(json::value const& value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

void print_lines(char const* title, json::value const& lines)
{
    if (lines.as_array().empty())
        return;
    std::cout << title << "\n";
    for (auto const& line : lines.as_array())
        std::cout << "  " << text_of(line) << "\n";
}

int make_plan(operator_client& client, json::object const& intent, std::string const& out,
              bool as_json)
{
    json::object const request{{"operation", new_operation_id()}, {"intent", intent}};
    json::object const plan = ask(client, "POST", "/v1/plan", json::serialize(request));
    write_file(out, json::serialize(plan));
    if (as_json)
        std::cout << json::serialize(plan) << "\n";
    else
    {
        std::cout << "plan from version " << text_of(plan.at("base_version")) << ", written to "
                  << out << "\n";
        if (plan.at("changes").as_array().empty())
            std::cout << "no changes\n";
        print_lines("changes:", plan.at("changes"));
        print_lines("moves:", plan.at("moves"));
        print_lines("unreachable hosts (the change is in force there once their lease expires):",
                    plan.at("hosts_out_of_reach"));
        std::cout << "confirm with: guavashed confirm " << out << "\n";
    }
    return exit_ok;
}

/// Waits until the version is in force on every host; returns the milliseconds from acceptance, or
/// nothing when `in_force_timeout` has passed.
std::optional<std::int64_t> wait_in_force(operator_client& client, std::uint64_t version)
{
    instant const until = instant::clock::now() + in_force_timeout;
    while (instant::clock::now() < until)
    {
        json::object const status = ask(client, "GET", "/v1/status");
        for (auto const& row : status.at("in_force").as_array())
            if (row.as_object().at("version").to_number<std::uint64_t>() >= version)
                return row.as_object().at("ms").to_number<std::int64_t>();
        std::this_thread::sleep_for(in_force_poll_interval);
    }
    return std::nullopt;
}

int confirm(operator_client& client, std::string const& path, bool as_json)
{
    auto const answer = client.ask_control("POST", "/v1/confirm", read_file(path));
    if (!answer)
        throw command_failure{exit_unreachable,
                              to_string(answer.error()) +
                                  "; confirm the same plan again to learn whether "
                                  "it was accepted"};
    if (answer.value().status != 200)
        throw command_failure{exit_refused, answer.value().body};
    json::object body = parse_object(answer.value().body, "the response");
    auto const version = body.at("version").to_number<std::uint64_t>();
    auto const in_force = wait_in_force(client, version);
    if (in_force)
        body["in_force_ms"] = *in_force;
    if (as_json)
        std::cout << json::serialize(body) << "\n";
    else
        std::cout << "accepted as version " << version << "; "
                  << (in_force ? "in force everywhere after " + std::to_string(*in_force) + " ms"
                               : "not yet in force everywhere, see guavashed status")
                  << "\n";
    return exit_ok;
}

/// Adds `name` to, or removes it from, the intent's list of leaving hosts or upstreams.
json::object with_leaving(json::object intent, char const* list, std::string const& name,
                          bool leaving)
{
    json::array next;
    for (auto const& item : intent.at(list).as_array())
        if (text_of(item) != name)
            next.push_back(item);
    if (leaving)
        next.emplace_back(name);
    intent[list] = std::move(next);
    return intent;
}

int drain(operator_client& client, option_values const& options, bool leaving)
{
    json::object const current = ask(client, "GET", "/v1/configuration");
    char const* const list =
        options.at("upstream").asBool() ? "leaving_upstreams" : "leaving_hosts";
    json::object const intent = with_leaving(current.at("intent").as_object(), list,
                                             options.at("NAME").asString(), leaving);
    return make_plan(client, intent, options.at("--out").asString(), options.at("--json").asBool());
}

/// Returns the status reported by the leader, which is the most complete; that of another control
/// host when the leader is unknown or does not answer.
json::object best_status(operator_client& client)
{
    json::object first = ask(client, "GET", "/v1/status");
    std::string const leader = text_of(first.at("leader"));
    if (leader.empty() || leader == text_of(first.at("host")))
        return first;
    for (auto const& item : first.at("members").as_array())
    {
        json::object const& member = item.as_object();
        if (text_of(member.at("host")) != leader || !member.contains("operator"))
            continue;
        auto const answer =
            client.ask(endpoint_text(text_of(member.at("operator"))), "GET", "/v1/status");
        if (answer && answer.value().status == 200)
            return parse_object(answer.value().body, "the leader's response");
    }
    return first;
}

void print_status(json::object const& status)
{
    std::cout << "control: " << text_of(status.at("host")) << " is " << text_of(status.at("role"))
              << ", leader " << text_of(status.at("leader")) << ", term "
              << text_of(status.at("term")) << ", version " << text_of(status.at("version"))
              << "\n";
    for (auto const& item : status.at("members").as_array())
    {
        json::object const& member = item.as_object();
        bool const unresponsive = member.contains("silent") && member.at("silent").as_bool();
        std::cout << "  member " << text_of(member.at("host"))
                  << (member.at("votes").as_bool() ? "" : " (non-voting)")
                  << (unresponsive ? " SILENT" : "") << "\n";
    }
    for (auto const& item : status.at("regions").as_array())
    {
        json::object const& region = item.as_object();
        std::cout << "region " << text_of(region.at("region")) << ": "
                  << text_of(region.at("in_flight")) << " in flight, "
                  << text_of(region.at("slots")) << " slots usable, cap "
                  << text_of(region.at("cap")) << "\n";
    }
    for (auto const& item : status.at("shifts").as_array())
    {
        json::object const& shift = item.as_object();
        std::cout << "shift " << text_of(shift.at("from")) << " to " << text_of(shift.at("to"))
                  << ": " << text_of(shift.at("current_permille")) << " of "
                  << text_of(shift.at("target_permille")) << " permille\n";
    }
    for (auto const& item : status.at("hosts").as_array())
    {
        json::object const& host = item.as_object();
        std::cout << "host " << text_of(host.at("host")) << " in "
                  << text_of(host.at("failure_domain")) << ": " << text_of(host.at("phase"))
                  << ", version " << text_of(host.at("version"));
        for (auto const& load : host.at("services").as_array())
        {
            json::object const& service = load.as_object();
            std::cout << ", " << text_of(service.at("service")) << " "
                      << text_of(service.at("in_flight")) << "/" << text_of(service.at("slots"))
                      << " slots, " << text_of(service.at("waiting")) << " waiting";
        }
        std::cout << "\n";
    }
    print_lines("leaving upstreams:", status.at("leaving_upstreams"));
    print_lines("SILENT hosts:", status.at("silent_hosts"));
}

int show_status(operator_client& client, bool as_json)
{
    json::object const status = best_status(client);
    if (as_json)
        std::cout << json::serialize(status) << "\n";
    else
        print_status(status);
    bool const degraded =
        !status.at("silent_hosts").as_array().empty() || text_of(status.at("leader")).empty();
    return degraded ? exit_degraded : exit_ok;
}

int show_history(operator_client& client, bool as_json)
{
    json::object const body = ask(client, "GET", "/v1/history");
    if (as_json)
    {
        std::cout << json::serialize(body) << "\n";
        return exit_ok;
    }
    for (auto const& item : body.at("history").as_array())
    {
        json::object const& row = item.as_object();
        std::cout << "version " << text_of(row.at("version")) << " by " << text_of(row.at("cause"))
                  << "\n";
        for (auto const& change : row.at("changes").as_array())
            std::cout << "  " << text_of(change) << "\n";
    }
    return exit_ok;
}

/// Fetches `path` from an entry host; nothing when it does not answer with status 200.
std::optional<json::object> ask_entry(operator_client& client, json::object const& host,
                                      std::string const& path)
{
    auto const answer =
        client.ask(endpoint_text(text_of(host.at("operator"))), "GET", "/v1/entry/" + path);
    if (!answer || answer.value().status != 200)
        return std::nullopt;
    return parse_object(answer.value().body, "an entry host's response");
}

int explain(operator_client& client, std::string const& subject, bool as_json)
{
    json::object const status = ask(client, "GET", "/v1/status");
    json::array all;
    for (auto const& item : status.at("hosts").as_array())
    {
        auto const answer = ask_entry(client, item.as_object(), "explain?subject=" + subject);
        if (!answer)
        {
            std::cerr << "host " << text_of(item.as_object().at("host")) << " did not answer\n";
            continue;
        }
        for (auto const& note : answer->at("notes").as_array())
        {
            json::object line = note.as_object();
            line["host"] = answer->at("host");
            all.push_back(std::move(line));
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](json::value const& a, json::value const& b)
                     {
                         return a.as_object().at("at_ms").to_number<std::int64_t>() <
                                b.as_object().at("at_ms").to_number<std::int64_t>();
                     });
    if (as_json)
    {
        std::cout << json::serialize(all) << "\n";
        return exit_ok;
    }
    for (auto const& item : all)
    {
        json::object const& note = item.as_object();
        std::cout << text_of(note.at("at_ms")) << " " << text_of(note.at("host")) << " "
                  << text_of(note.at("subject")) << ": " << text_of(note.at("decision")) << " ("
                  << text_of(note.at("inputs")) << "; version " << text_of(note.at("version"))
                  << ")\n";
    }
    return exit_ok;
}

burn_source parse_source(json::object const& body)
{
    burn_source out;
    out.host = host_name(text_of(body.at("host")));
    out.region = region_name(text_of(body.at("region")));
    for (auto const& item : body.at("rows").as_array())
    {
        json::object const& row = item.as_object();
        burn_row read;
        read.service = service_name(text_of(row.at("service")));
        read.kind = work_kind_name(text_of(row.at("kind")));
        read.minute = row.at("minute").to_number<std::int64_t>();
        read.counts.total = row.at("total").to_number<std::uint64_t>();
        read.counts.good = row.at("good").to_number<std::uint64_t>();
        for (std::size_t i = 0; i < read.counts.spent.size(); ++i)
            read.counts.spent[i] = row.at("spent").as_array().at(i).to_number<std::uint64_t>();
        for (std::size_t i = 0; i < read.counts.latency.size(); ++i)
            read.counts.latency[i] = row.at("latency").as_array().at(i).to_number<std::uint64_t>();
        out.rows.push_back(std::move(read));
    }
    return out;
}

int report_burn(operator_client& client, bool as_json, bool as_html)
{
    json::object const current = ask(client, "GET", "/v1/configuration");
    auto const config = parse_intent(json::serialize(current.at("intent")));
    if (!config)
        throw command_failure{exit_refused, to_string(config.error())};
    json::object const status = ask(client, "GET", "/v1/status");
    std::vector<burn_source> sources;
    std::vector<host_name> missing;
    for (auto const& item : status.at("silent_hosts").as_array())
        missing.emplace_back(text_of(item));
    for (auto const& item : status.at("hosts").as_array())
    {
        auto const answer = ask_entry(client, item.as_object(), "burn");
        if (answer)
            sources.push_back(parse_source(*answer));
        else
            missing.emplace_back(text_of(item.as_object().at("host")));
    }
    auto const summary = summarize_burn(config.value(), sources, std::move(missing),
                                        minute_of(std::chrono::system_clock::now()));
    if (as_html)
        std::cout << print_burn_html(summary);
    else if (as_json)
        std::cout << print_burn_json(summary) << "\n";
    else
        std::cout << print_burn_text(summary);
    return exit_ok;
}

int print_completion()
{
    std::cout << "complete -W 'plan confirm drain undrain configuration status history explain "
                 "report burn completion upstream host --operators= --operator-key-file= --json "
                 "--out= --html --help --version' guavashed\n";
    return exit_ok;
}

int run(option_values const& options)
{
    if (options.at("completion").asBool())
        return print_completion();
    bool const as_json = options.at("--json").asBool();
    auto const key = read_key_file(
        option_or_variable(options, "--operator-key-file", "GUAVASHED_OPERATOR_KEY_FILE"),
        "operator-key-file");
    if (!key)
        throw command_failure{exit_usage, to_string(key.error())};
    operator_client client(
        parse_operators(option_or_variable(options, "--operators", "GUAVASHED_OPERATORS")),
        key.value());
    if (options.at("plan").asBool())
    {
        std::string const path = options.at("INTENT").asString();
        return make_plan(client, parse_object(read_file(path), path),
                         options.at("--out").asString(), as_json);
    }
    if (options.at("confirm").asBool())
        return confirm(client, options.at("PLAN").asString(), as_json);
    if (options.at("drain").asBool())
        return drain(client, options, true);
    if (options.at("undrain").asBool())
        return drain(client, options, false);
    if (options.at("configuration").asBool())
    {
        std::cout << json::serialize(ask(client, "GET", "/v1/configuration")) << "\n";
        return exit_ok;
    }
    if (options.at("status").asBool())
        return show_status(client, as_json);
    if (options.at("history").asBool())
        return show_history(client, as_json);
    if (options.at("explain").asBool())
        return explain(client,
                       options.at("SUBJECT").isString() ? options.at("SUBJECT").asString() : "",
                       as_json);
    return report_burn(client, as_json, options.at("--html").asBool());
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true));
    }
    catch (docopt::DocoptExitHelp const&)
    {
        std::cout << usage;
        return exit_ok;
    }
    catch (docopt::DocoptExitVersion const&)
    {
        std::cout << "guavashed 0.1.0\n";
        return exit_ok;
    }
    catch (command_failure const& failure)
    {
        std::cerr << "guavashed: " << failure.message << "\n";
        return failure.exit_code;
    }
    catch (std::exception const& problem)
    {
        std::cerr << "guavashed: " << problem.what() << "; see guavashed --help\n";
        return exit_usage;
    }
}
