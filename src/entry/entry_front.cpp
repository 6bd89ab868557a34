// Parsing of callers' and upstreams' HTTP requests, and look-up answers.
#include "entry/entry_front.hpp"

#include "base/endpoint.hpp"
#include "entry/ticket.hpp"
#include "transport/operator_port.hpp"

#include <boost/json.hpp>
#include <charconv>

namespace guavashed
{
namespace json = boost::json;

namespace
{

constexpr std::uint32_t default_deadline_ms = 5000;
constexpr std::uint32_t max_deadline_ms = 120'000;
constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_key_length = 256;
constexpr std::string_view call_prefix = "/v1/call/";

std::optional<std::uint32_t> parse_number(std::string_view text, std::uint32_t low,
                                          std::uint32_t high)
{
    std::uint32_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || value < low ||
        value > high)
        return std::nullopt;
    return value;
}

bool is_plain_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c)
                       { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
}

error announcement_error(std::string detail)
{
    return fail(error_code::invalid_request, "read announcement", "", std::move(detail));
}

result<std::string> name_at(json::object const& object, char const* field)
{
    auto const* value = object.if_contains(field);
    if (value == nullptr || !value->is_string() || !is_plain_name(value->get_string()))
        return announcement_error(
            std::string(field) + " must be 1 to 128 characters of a-z, A-Z, 0-9, '-', '_' and '.'");
    return std::string(value->get_string());
}

result<std::uint64_t> number_at(json::object const& object, char const* field, std::uint64_t low,
                                std::uint64_t high)
{
    auto const* value = object.if_contains(field);
    boost::system::error_code code;
    std::uint64_t const number = value == nullptr ? low : value->to_number<std::uint64_t>(code);
    if (code || number < low || number > high)
        return announcement_error(std::string(field) + " must be a whole number from " +
                                  std::to_string(low) + " to " + std::to_string(high));
    return number;
}

bool flag_at(json::object const& object, char const* field)
{
    auto const* value = object.if_contains(field);
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace

entry_front::entry_front(daemon_settings const& settings, steering_table const& table,
                         event_sink push_event)
    : settings_(settings), table_(table),
      recorders_(choose_recorders(settings.controls, settings.region)),
      push_event_(std::move(push_event))
{
}

void entry_front::refuse(http_exchange& exchange, unsigned status, std::string const& detail)
{
    ++counters_.bad_requests;
    exchange.respond(
        error_response(status, fail(error_code::invalid_request, "read request", "", detail)));
}

void entry_front::on_request(http_request request, std::shared_ptr<http_exchange> exchange)
{
    std::string_view const path = path_of(request.target);
    if (path == "/v1/entry" && request.method == "GET")
        return lookup(request, *exchange);
    if (path.starts_with(call_prefix) && request.method == "POST")
        return call(std::move(request), exchange);
    if (path == "/v1/announce" && request.method == "POST")
        return announce(request, std::move(exchange));
    refuse(*exchange, 404, "this port has no endpoint " + request.method + " " + std::string(path));
}

std::string entry_front::lookup_body(std::string_view client) const
{
    auto const sites = table_.sites();
    steering_choice const choice = table_.choose(*sites, table_.block_of(*sites, client));
    std::string out;
    out.reserve(512);
    out += "{\"entries\":[";
    for (std::size_t i = 0; i < choice.count; ++i)
    {
        out += i == 0 ? "{\"host\":\"" : ",{\"host\":\"";
        out += choice.hosts[i]->name.value();
        out += "\",\"address\":\"";
        out += choice.hosts[i]->caller_endpoint.value();
        out += "\"}";
    }
    out += "],\"valid_ms\":";
    out += std::to_string(settings_.lookup_validity.count());
    out += ",\"key_prefix\":\"";
    wall_instant const now = std::chrono::system_clock::now();
    out += print_ticket({recorders_, now, now + settings_.key_retention});
    out += "\"}";
    return out;
}

void entry_front::lookup(http_request const& request, http_exchange& exchange)
{
    ++counters_.lookups;
    if (!serving_)
        return exchange.respond(
            error_response(503, fail(error_code::unavailable, "look up", settings_.name.value(),
                                     "this host is starting or leaving and answers no look-ups")));
    std::string const client = query_value(request.target, "client");
    if (client.empty() || client.size() > max_name_length)
        return refuse(
            exchange, 400,
            "query parameter client must be the caller's address of 1 to 128 characters, got " +
                std::to_string(client.size()));
    exchange.respond(json_response(200, lookup_body(client)));
}

void entry_front::call(http_request&& request, std::shared_ptr<http_exchange> const& exchange)
{
    std::string_view path = path_of(request.target);
    path.remove_prefix(call_prefix.size());
    auto const slash = path.find('/');
    std::string_view const service = path.substr(0, slash);
    std::string_view const kind =
        slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    if (!is_plain_name(service) || !is_plain_name(kind))
        return refuse(*exchange, 400, "invalid path: expected /v1/call/SERVICE/KIND");
    std::uint32_t deadline_ms = default_deadline_ms;
    if (auto const text = request.field("X-Deadline-Ms"); !text.empty())
    {
        auto const parsed = parse_number(text, 1, max_deadline_ms);
        if (!parsed)
            return refuse(*exchange, 400, "X-Deadline-Ms must be a whole number from 1 to 120000");
        deadline_ms = *parsed;
    }
    std::string_view const key = request.field("Idempotency-Key");
    if (key.size() > max_key_length)
        return refuse(*exchange, 400,
                      "Idempotency-Key too long: got " + std::to_string(key.size()) +
                          " of at most 256 characters");
    front_call event;
    event.request.id = request_id(next_id_++);
    event.request.service = service_name(std::string(service));
    event.request.kind = work_kind_name(std::string(kind));
    event.request.caller =
        caller_name(std::string(request.field("X-Caller").substr(0, max_name_length)));
    event.request.key = idempotency_key(std::string(key));
    event.request.first_try = request.field("X-Try") == "1";
    event.request.deadline = instant::clock::now() + milliseconds(deadline_ms);
    event.request.bytes = request.body.size();
    event.target = std::move(request.target);
    event.body = std::move(request.body);
    event.exchange = exchange;
    request_id const id = event.request.id;
    bool const first_try = event.request.first_try || event.request.key.value().empty();
    if (!push_event_(std::move(event)))
    {
        ++counters_.ring_full;
        give_answer full{id,
                         first_try ? outcome_kind::not_run : outcome_kind::unknown,
                         0,
                         {},
                         burn_cause::refused,
                         "this entry host is overloaded: its event ring is full"};
        return exchange->respond(caller_response(std::move(full)));
    }
    exchange->when_abandoned([this, id] { push_event_(front_abandoned{id}); });
}

void entry_front::announce(http_request const& request, std::shared_ptr<http_exchange> exchange)
{
    auto announcement = parse_announcement(request.body);
    if (!announcement)
    {
        ++counters_.bad_requests;
        return exchange->respond(error_response(400, announcement.error()));
    }
    bool const redirected = request.field("X-Redirected") == "1";
    // `exchange` moves into the event; the copy answers when the ring is full.
    auto const keep = exchange;
    if (!push_event_(
            front_announcement{std::move(announcement).value(), redirected, std::move(exchange)}))
    {
        ++counters_.ring_full;
        keep->respond(
            error_response(503, fail(error_code::overloaded, "announce", settings_.name.value(),
                                     "the event ring is full; retry later")));
    }
}

result<upstream_announcement> parse_announcement(std::string const& body)
{
    boost::system::error_code code;
    json::value const document = json::parse(body, code);
    if (code || !document.is_object())
        return announcement_error("the body is not a JSON object: got " +
                                  std::to_string(body.size()) + " bytes");
    json::object const& object = document.get_object();
    upstream_announcement out;
    BOOST_OUTCOME_TRY(auto name, name_at(object, "name"));
    out.name = upstream_name(std::move(name));
    BOOST_OUTCOME_TRY(auto service, name_at(object, "service"));
    out.service = service_name(std::move(service));
    BOOST_OUTCOME_TRY(auto region, name_at(object, "region"));
    out.region = region_name(std::move(region));
    BOOST_OUTCOME_TRY(auto domain, name_at(object, "failure_domain"));
    out.domain = failure_domain_name(std::move(domain));
    auto const* address = object.if_contains("address");
    if (address == nullptr || !address->is_string())
        return announcement_error("address must be IP:PORT");
    out.endpoint = endpoint_text(std::string(address->get_string()));
    if (!parse_endpoint(out.endpoint))
        return announcement_error("address must be IP:PORT");
    BOOST_OUTCOME_TRY(auto const slots, number_at(object, "slots", 1, 10'000));
    out.slots = slot_count(static_cast<std::uint32_t>(slots));
    BOOST_OUTCOME_TRY(auto const life, number_at(object, "incarnation", 0, ~std::uint64_t{0}));
    out.life = incarnation(life);
    BOOST_OUTCOME_TRY(auto const elsewhere, number_at(object, "in_flight_elsewhere", 0, 100'000));
    out.in_flight_elsewhere = slot_count(static_cast<std::uint32_t>(elsewhere));
    BOOST_OUTCOME_TRY(auto const fence, number_at(object, "previous_lease_left_ms", 0, 60'000));
    out.previous_lease_left = milliseconds(fence);
    BOOST_OUTCOME_TRY(out.acceptance, number_at(object, "acceptance", 0, ~std::uint64_t{0}));
    out.cold = flag_at(object, "cold");
    out.leaving = flag_at(object, "leaving");
    return out;
}

http_response caller_response(give_answer answer)
{
    switch (answer.outcome)
    {
    case outcome_kind::answer:
        return {answer.status,
                {{"Content-Type", "application/json"}, {"X-Outcome", "answer"}},
                std::move(answer.body)};
    case outcome_kind::not_run:
    {
        json::object const body{{"outcome", "not run"}, {"reason", answer.reason}};
        return {503,
                {{"Content-Type", "application/json"}, {"X-Outcome", "not-run"}},
                json::serialize(body)};
    }
    case outcome_kind::unknown:
        break;
    }
    json::object const body{{"outcome", "unknown"}, {"reason", answer.reason}};
    return {504,
            {{"Content-Type", "application/json"}, {"X-Outcome", "unknown"}},
            json::serialize(body)};
}

} // namespace guavashed
