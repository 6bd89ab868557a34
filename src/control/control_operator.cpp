// The operator requests of a control host: plan, confirm, status, history and metrics.
#include "control/control_node.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>

namespace guavashed
{
namespace json = boost::json;

namespace
{

constexpr std::chrono::minutes plan_validity{15};
constexpr std::chrono::seconds confirm_timeout{5};
constexpr std::size_t max_operation_length = 64;
/// Equals step_interval in shift_controller.cpp.
constexpr std::uint32_t shift_step_interval_s = 2;

std::string hex(std::uint64_t value)
{
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << value;
    return out.str();
}

json::array to_array(std::vector<std::string> const& lines)
{
    json::array out;
    for (auto const& line : lines)
        out.emplace_back(line);
    return out;
}

char const* phase_text(host_phase phase)
{
    char const* const texts[] = {"starting", "serving", "leaving"};
    return texts[static_cast<std::size_t>(phase)];
}

/// One line for each shift that has not reached its target: the share that moves and the least time
/// that this takes.
std::vector<std::string> describe_moves(configuration const& outcome)
{
    std::vector<std::string> out;
    for (auto const& shift : outcome.shifts)
    {
        std::uint32_t const distance = shift.target > shift.current
                                           ? shift.target.value() - shift.current.value()
                                           : shift.current.value() - shift.target.value();
        if (distance == 0)
            continue;
        std::uint32_t const steps = (distance + shift.step.value() - 1) / shift.step.value();
        out.push_back("region " + shift.to.value() + " gains and region " + shift.from.value() +
                      " loses " + std::to_string(distance) + " permille of " + shift.from.value() +
                      "'s callers, in " + std::to_string(steps) + " steps over at least " +
                      std::to_string(steps * shift_step_interval_s) + " s");
    }
    return out;
}

/// The fields of a plan document that an operator confirms.
struct plan_fields
{
    operation_id operation;
    config_version base;
    std::string outcome;
    std::int64_t expires_ms = 0;
    configuration intent;
};

error plan_error(std::string detail)
{
    return fail(error_code::invalid_document, "read plan", "", std::move(detail));
}

result<operation_id> read_operation(json::object const& object)
{
    auto const* value = object.if_contains("operation");
    if (value == nullptr || !value->is_string() || value->get_string().empty() ||
        value->get_string().size() > max_operation_length)
        return plan_error("operation must be a string of 1 to 64 characters");
    return operation_id(std::string(value->get_string()));
}

result<plan_fields> read_plan(std::string const& body)
{
    boost::system::error_code code;
    json::value const document = json::parse(body, code);
    if (code || !document.is_object())
        return plan_error("the plan is not a JSON object");
    json::object const& object = document.get_object();
    plan_fields out;
    BOOST_OUTCOME_TRY(out.operation, read_operation(object));
    auto const* base = object.if_contains("base_version");
    auto const* outcome = object.if_contains("outcome");
    auto const* expires = object.if_contains("expires_ms");
    auto const* intent = object.if_contains("intent");
    if (base == nullptr || outcome == nullptr || expires == nullptr || intent == nullptr ||
        !outcome->is_string())
        return plan_error("base_version, outcome, expires_ms or intent is missing, "
                          "or outcome is not a string");
    boost::system::error_code bad_base;
    boost::system::error_code bad_expiry;
    out.base = config_version(base->to_number<std::uint64_t>(bad_base));
    out.expires_ms = expires->to_number<std::int64_t>(bad_expiry);
    if (bad_base || bad_expiry)
        return plan_error("base_version and expires_ms must be integers");
    out.outcome = std::string(outcome->get_string());
    BOOST_OUTCOME_TRY(out.intent, parse_intent(json::serialize(*intent)));
    return out;
}

} // namespace

void control_node::on_operator(operator_request&& item)
{
    std::string_view const path = path_of(item.request.target);
    bool const reads = item.request.method == "GET";
    if (reads && path == "/healthz")
        return item.exchange->respond(
            json_response(replica_->has_failed() ? 503 : 200,
                          replica_->has_failed() ? "{\"storage\":\"failed\"}" : "{}"));
    if (reads && path == "/metrics")
        return item.exchange->respond(metrics());
    if (reads && path == "/v1/status")
        return item.exchange->respond(status(instant::clock::now()));
    if (reads && path == "/v1/history")
        return item.exchange->respond(history());
    if (reads && path == "/v1/configuration")
        return answer_configuration(item);
    if (!reads && path == "/v1/plan")
        return answer_plan(item);
    if (!reads && path == "/v1/confirm")
        return answer_confirm(item);
    item.exchange->respond(error_response(
        404,
        fail(error_code::invalid_request, "operator request", "",
             "a control host does not serve " + item.request.method + " " + std::string(path))));
}

http_response control_node::not_leader() const
{
    json::object body{{"error", "not_leader"}, {"leader", raft_->leader().value()}};
    auto const peer = peers_.find(raft_->leader());
    if (peer != peers_.end())
        body["leader_operator"] = peer->second.last_join.operator_endpoint.value();
    return json_response(421, json::serialize(body));
}

void control_node::answer_configuration(operator_request& item)
{
    if (!raft_->lease_holds(instant::clock::now()) || !raft_->caught_up())
        return item.exchange->respond(not_leader());
    json::object const body{{"version", state_.version().value()},
                            {"intent_version", state_.intent_version().value()},
                            {"intent", json::parse(print_intent(state_.fleet().config))}};
    item.exchange->respond(json_response(200, json::serialize(body)));
}

void control_node::answer_plan(operator_request& item)
{
    instant const now = instant::clock::now();
    if (!raft_->lease_holds(now) || !raft_->caught_up())
        return item.exchange->respond(not_leader());
    boost::system::error_code code;
    json::value const document = json::parse(item.request.body, code);
    if (code || !document.is_object() || !document.get_object().contains("intent"))
        return item.exchange->respond(
            error_response(400, plan_error("expected {\"operation\":..., \"intent\":{...}}")));
    auto const operation = read_operation(document.get_object());
    if (!operation)
        return item.exchange->respond(error_response(400, operation.error()));
    json::value const& intent = document.get_object().at("intent");
    auto parsed = parse_intent(json::serialize(intent));
    if (!parsed)
        return item.exchange->respond(error_response(400, parsed.error()));
    configuration const outcome = state_.outcome_of(parsed.value());
    json::array unreachable;
    for (auto const& held : state_.fleet().seats)
        if (presence_.find(held.host) == nullptr)
            unreachable.emplace_back(held.host.value());
    json::object const plan{
        {"operation", operation.value().value()},
        {"base_version", state_.intent_version().value()},
        {"outcome", hex(outcome_hash(outcome))},
        {"expires_ms", wall_ms(std::chrono::system_clock::now() + plan_validity)},
        {"changes", to_array(describe_changes(state_.fleet().config, outcome))},
        {"moves", to_array(describe_moves(outcome))},
        {"hosts_out_of_reach", unreachable},
        {"intent", intent}};
    item.exchange->respond(json_response(200, json::serialize(plan)));
}

http_response control_node::confirm_response(control_answer const& answer) const
{
    json::object const body{{"operation", answer.operation.value()},
                            {"accepted", answer.accepted},
                            {"version", answer.version.value()},
                            {"detail", answer.detail}};
    return json_response(answer.accepted ? 200 : 409, json::serialize(body));
}

void control_node::answer_confirm(operator_request& item)
{
    instant const now = instant::clock::now();
    if (!raft_->lease_holds(now) || !raft_->caught_up())
        return item.exchange->respond(not_leader());
    auto plan = read_plan(item.request.body);
    if (!plan)
        return item.exchange->respond(error_response(400, plan.error()));
    plan_fields& fields = plan.value();
    if (control_answer const* first = state_.find_answer(fields.operation))
        return item.exchange->respond(confirm_response(*first));
    if (fields.expires_ms <= wall_ms(std::chrono::system_clock::now()))
        return item.exchange->respond(
            error_response(410, fail(error_code::expired, "confirm", "",
                                     "the plan expired at " + std::to_string(fields.expires_ms) +
                                         " ms since the epoch; request a new plan")));
    configuration const outcome = state_.outcome_of(fields.intent);
    if (fields.base == state_.intent_version() && hex(outcome_hash(outcome)) != fields.outcome)
        return item.exchange->respond(error_response(
            409, fail(error_code::conflict, "confirm", "",
                      "the outcome would differ from the planned one because a shift has moved or "
                      "the plan was edited; request a new plan")));
    control_command command;
    command.operation = fields.operation;
    command.base = fields.base;
    command.config = std::move(fields.intent);
    command.at_ms = wall_ms(std::chrono::system_clock::now());
    if (!propose(command))
        return item.exchange->respond(not_leader());
    pending_confirms_.push_back({fields.operation, item.exchange, now + confirm_timeout});
    replica_->drive();
}

http_response control_node::status(instant now) const
{
    json::array members;
    for (auto const& member : raft_->membership().members)
    {
        auto const peer = peers_.find(member.host);
        json::object row{{"host", member.host.value()},
                         {"votes", member.voter},
                         {"disk", hex(member.disk.value())}};
        if (raft_->is_leader() && member.host != settings_.name)
        {
            row["match"] = raft_->match_index_of(member.host).value();
            row["silent"] = raft_->last_reply_from(member.host) + member_unresponsive_after < now;
        }
        if (peer != peers_.end())
            row["operator"] = peer->second.last_join.operator_endpoint.value();
        members.push_back(std::move(row));
    }
    json::array hosts;
    for (auto const& row : presence_.rows())
    {
        json::array services;
        for (auto const& load : row.services)
            services.push_back(
                json::object{{"service", load.service.value()},
                             {"slots", load.slots},
                             {"in_flight", load.in_flight},
                             {"waiting", load.waiting[0] + load.waiting[1] + load.waiting[2]},
                             {"mean_service_us", load.mean_service_us}});
        hosts.push_back(json::object{{"host", row.host.value()},
                                     {"region", row.region.value()},
                                     {"failure_domain", row.domain.value()},
                                     {"caller", row.caller_endpoint.value()},
                                     {"operator", row.operator_endpoint.value()},
                                     {"phase", phase_text(row.phase)},
                                     {"version", row.version.value()},
                                     {"services", services}});
    }
    json::array absent_hosts;
    for (auto const& held : state_.fleet().seats)
        if (presence_.find(held.host) == nullptr)
            absent_hosts.emplace_back(held.host.value());
    json::array regions;
    for (auto const& region : state_.fleet().config.regions)
    {
        auto const load = load_of(region.name);
        regions.push_back(json::object{{"region", region.name.value()},
                                       {"cap", region.slot_cap.value()},
                                       {"slots", load ? load->slots.value() : 0},
                                       {"in_flight", load ? load->in_flight.value() : 0}});
    }
    json::array shifts;
    for (auto const& shift : state_.fleet().config.shifts)
        shifts.push_back(json::object{{"from", shift.from.value()},
                                      {"to", shift.to.value()},
                                      {"current_permille", shift.current.value()},
                                      {"target_permille", shift.target.value()}});
    json::array in_force;
    for (auto const& item : accepted_versions_)
        if (item.in_force)
            in_force.push_back(json::object{
                {"version", item.version.value()},
                {"ms", std::chrono::duration_cast<milliseconds>(*item.in_force - item.accepted_at)
                           .count()}});
    json::array leaving;
    for (auto const& name : state_.fleet().config.leaving_upstreams)
        leaving.emplace_back(name.value());
    json::object const body{{"host", settings_.name.value()},
                            {"role", to_string(raft_->role())},
                            {"leader", raft_->leader().value()},
                            {"term", raft_->term().value()},
                            {"fresh", raft_->fresh_until() > now},
                            {"version", state_.version().value()},
                            {"intent_version", state_.intent_version().value()},
                            {"commit_index", raft_->commit_index().value()},
                            {"members", members},
                            {"regions", regions},
                            {"shifts", shifts},
                            {"leaving_upstreams", leaving},
                            {"hosts", hosts},
                            {"silent_hosts", absent_hosts},
                            {"in_force", in_force}};
    return json_response(200, json::serialize(body));
}

http_response control_node::history() const
{
    json::array rows;
    for (auto const& row : state_.history())
        rows.push_back(json::object{{"version", row.version.value()},
                                    {"at_ms", row.at_ms},
                                    {"cause", row.cause},
                                    {"changes", to_array(row.changes)}});
    return json_response(200, json::serialize(json::object{{"history", rows}}));
}

http_response control_node::metrics() const
{
    std::ostringstream out;
    auto const line = [&](char const* name, std::uint64_t value)
    { out << "guavashed_control_" << name << " " << value << "\n"; };
    line("term", raft_->term().value());
    line("is_leader", raft_->is_leader() ? 1 : 0);
    line("commit_index", raft_->commit_index().value());
    line("version", state_.version().value());
    line("entry_sessions", entries_.size());
    line("present_hosts", presence_.rows().size());
    line("raft_messages_total", counters_.raft_messages);
    line("bad_frames_total", counters_.bad_frames);
    line("pushes_total", counters_.pushes);
    line("leaders_seen_total", counters_.leaders_seen);
    line("storage_failures_total", counters_.storage_failures);
    line("claims_held", recorder_->size());
    line("claim_syncs_total", recorder_->syncs());
    return http_response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, out.str()};
}

} // namespace guavashed
