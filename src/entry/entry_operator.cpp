// The operator endpoints of entry_node: health, metrics, status, explain and burn.
#include "entry/entry_node.hpp"

#include <boost/json.hpp>
#include <sstream>

namespace guavashed
{
namespace json = boost::json;
void entry_node::on_operator(operator_request&& item)
{
    instant const now = instant::clock::now();
    std::string_view const path = path_of(item.request.target);
    if (path == "/healthz")
        return item.exchange->respond(json_response(configured_ ? 200 : 503, "{}"));
    if (path == "/metrics" || path == "/v1/entry/metrics")
        return item.exchange->respond(metrics());
    if (path == "/v1/entry/status")
        return item.exchange->respond(status(now));
    if (path == "/v1/entry/explain")
        return item.exchange->respond(explain(query_value(item.request.target, "subject")));
    if (path == "/v1/entry/burn")
        return item.exchange->respond(burn());
    item.exchange->respond(error_response(
        404,
        fail(error_code::invalid_request, "operator request", "",
             "an entry host has no endpoint " + item.request.method + " " + std::string(path))));
}

http_response entry_node::status(instant now) const
{
    json::array upstreams;
    for (auto const& row : core_->upstream_rows())
        upstreams.push_back(json::object{{"upstream", row.name.value()},
                                         {"state", row.state},
                                         {"slots", row.slots.value()},
                                         {"in_flight", row.in_flight.value()},
                                         {"mean_service_us", row.mean_service.count()},
                                         {"served", row.served},
                                         {"ejections", row.ejections}});
    slot_share const& share = core_->region_share();
    json::object const body{{"host", settings_.name.value()},
                            {"version", core_->config().version.value()},
                            {"control", now < control_lease_until_ ? "connected" : "isolated"},
                            {"share_slots", share.limit(now).value()},
                            {"share_used", share.used().value()},
                            {"hosts_in_view", core_->view().rows().size()},
                            {"upstreams", upstreams}};
    return json_response(200, json::serialize(body));
}

http_response entry_node::explain(std::string const& subject) const
{
    json::array notes;
    for (auto const& note : core_->notes().find(subject))
        notes.push_back(json::object{{"at_ms", wall_ms(note.at)},
                                     {"subject", note.subject},
                                     {"decision", note.decision},
                                     {"inputs", note.inputs},
                                     {"version", note.version.value()}});
    json::object const body{{"host", settings_.name.value()}, {"notes", notes}};
    return json_response(200, json::serialize(body));
}

http_response entry_node::burn() const
{
    json::array rows;
    for (auto const& row : core_->burn().rows_since(0))
    {
        json::array spent;
        for (auto const count : row.counts.spent)
            spent.emplace_back(count);
        json::array latency;
        for (auto const count : row.counts.latency)
            latency.emplace_back(count);
        rows.push_back(json::object{{"service", row.service.value()},
                                    {"kind", row.kind.value()},
                                    {"minute", row.minute},
                                    {"total", row.counts.total},
                                    {"good", row.counts.good},
                                    {"spent", spent},
                                    {"latency", latency}});
    }
    json::object const body{
        {"host", settings_.name.value()}, {"region", settings_.region.value()}, {"rows", rows}};
    return json_response(200, json::serialize(body));
}

http_response entry_node::metrics() const
{
    std::ostringstream out;
    auto const line = [&](char const* name, std::uint64_t value)
    { out << "guavashed_entry_" << name << " " << value << "\n"; };
    entry_counters const& counters = core_->counters();
    line("requests_total", counters.requests);
    line("answers_total", counters.answers);
    line("not_run_total", counters.not_run);
    line("unknown_total", counters.unknown);
    line("retries_total", counters.retries);
    line("forwards_total", counters.forwards);
    line("claims_total", counters.claims);
    line("refused_late_total", counters.refused_late);
    line("cancelled_total", counters.cancelled);
    line("silent_attempts_total", counters.silent_attempts);
    line("lookups_total", front_->counters().lookups);
    line("bad_requests_total", front_->counters().bad_requests);
    line("ring_full_total", front_->counters().ring_full);
    line("version", core_->config().version.value());
    line("control_switches_total", hub_->counters().control_switches);
    line("control_bytes_total", hub_->counters().control_bytes);
    line("hub_bad_frames_total", hub_->counters().bad_frames);
    line("hub_events_dropped_total", hub_->counters().events_dropped);
    line("blocks_moved_total", blocks_moved_);
    out << latency_.print();
    return http_response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, out.str()};
}

} // namespace guavashed
