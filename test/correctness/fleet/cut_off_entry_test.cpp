// Tests of an entry host whose control host is the test itself, which answers lease requests as
// each case needs it. Without upstreams, a request that passes all checks is refused with "no
// usable upstream".
#include "base/codec.hpp"
#include "fleet/gateway_node.hpp"
#include "transport/http_client.hpp"
#include "wire_calls.hpp"
#include "wire_registry.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace guavashed;

namespace
{

endpoint_text const control_listen("127.0.4.1:25910");
endpoint_text const entry_listen("127.0.4.1:25911");
endpoint_text const readiness_listen("127.0.4.1:25912");
constexpr std::uint64_t first_index = 5;

std::string const document =
    R"({"version":"r1","base_version":"r0","routes":{"check":{"host":"roster.example",)"
    R"("path_prefix":"/check/","route_type":"safe","timeout_ms":2000,"target_latency_ms":400,)"
    R"("max_attempts":2,"priority":0,"session_affinity":true,"service":"roster"}},)"
    R"("services":{"roster":{"health_path":"/health","max_connections":300,"warmup_s":2.0,)"
    R"("warmup_per_s":6}},"tenants":{"crown":{"api_keys":["key-one"],"rate_per_s":5,"burst":5},)"
    R"("field":{"api_keys":["key-two"]}},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// A control host with one entry host. The public members may be set from any thread.
class scripted_control : public frame_handler
{
public:
    scripted_control() : event_loop_("control"), server_(event_loop_, *this, fleet_identity("c")) {}
    ~scripted_control() override { event_loop_.stop(); }

    bool listen() { return server_.listen(control_listen).has_value(); }
    /// Sends a view that contains all changes up to `index`.
    void push(std::uint64_t index)
    {
        boost::asio::post(event_loop_.context(), [this, index] { send_view(index); });
    }

    std::atomic<bool> answers{true};
    std::atomic<std::uint64_t> access_index{first_index};
    /// Whether the views that it sends have the table of workspaces.
    std::atomic<bool> has_workspaces{true};
    /// Of the line that answers each use.
    std::atomic<std::uint32_t> credit{0};
    std::atomic<std::uint32_t> wait_ms{0};

    void on_open(frame_session_ptr const& session) override
    {
        session_ = session;
        send_view(first_index);
    }
    void on_close(frame_session_ptr const&) override { session_.reset(); }
    void on_frame(frame_session_ptr const& session, frame&& item) override
    {
        if (item.type != frame_type::lease_request || !answers)
            return;
        auto const request = decode<lease_request>(item.payload, "entry").value();
        lease_grant out{request.host,   request.life, request.number,
                        control_listen, access_index, {}};
        for (auto const& use : request.uses)
            out.lines.push_back({use.workspace, credit, wait_ms});
        session->send(frame_type::lease_grant, encode(out));
    }

private:
    void send_view(std::uint64_t index)
    {
        auto const decoded = platform::wire_registry().decode(document);
        fleet_changes out;
        out.to = index;
        out.whole = true;
        out.config = decoded.value().config;
        if (has_workspaces)
            out.access = decoded.value().access;
        if (session_)
            session_->send(frame_type::fleet_changes, encode(out));
    }

    event_loop event_loop_;
    frame_server server_;
    frame_session_ptr session_;
};

gateway_settings entry_settings()
{
    gateway_settings out;
    out.name = host_name("e0");
    out.caller_listen = entry_listen;
    out.readiness_listen = readiness_listen;
    out.seeds = {control_listen};
    out.key_lease = {true, milliseconds(1000)};
    out.quota = {5, 0.1, 20};
    return out;
}

/// An entry host, its control host, and callers.
struct deployment
{
    scripted_control control;
    platform::wire_calls protocol;
    gateway_node entry{entry_settings(), protocol};
    event_loop callers{"callers"};
    http_client client{callers};

    /// `has_workspaces` says whether the first view has the table of workspaces, and
    /// `access_index` which change of it the leader names.
    explicit deployment(bool has_workspaces = true, std::uint64_t access_index = first_index)
    {
        control.has_workspaces = has_workspaces;
        control.access_index = access_index;
        REQUIRE(control.listen());
        REQUIRE(entry.start());
        for (int i = 0; i < 100 && ask("/ready", "", readiness_listen).status != 200; ++i)
            std::this_thread::sleep_for(milliseconds(20));
    }
    ~deployment()
    {
        entry.stop();
        callers.stop();
    }

    std::future<http_outcome> begin(std::string const& target, std::string const& key,
                                    milliseconds patience = milliseconds(2000),
                                    endpoint_text const& endpoint = entry_listen)
    {
        auto done = std::make_shared<std::promise<http_outcome>>();
        auto out = done->get_future();
        http_call call;
        call.endpoint = endpoint;
        call.request.method = "GET";
        call.request.target = target;
        call.request.fields = {{"Host", "roster.example"}, {"Api-Key", key}};
        call.deadline = instant::clock::now() + patience;
        call.fresh_connection = true;
        boost::asio::post(callers.context(),
                          [this, done, call = std::move(call)]() mutable
                          {
                              client.start(std::move(call), [done](http_outcome outcome)
                                           { done->set_value(std::move(outcome)); });
                          });
        return out;
    }
    http_response ask(std::string const& target, std::string const& key,
                      endpoint_text const& endpoint = entry_listen)
    {
        return begin(target, key, milliseconds(2000), endpoint)
            .get()
            .response.value_or(http_response{});
    }
    bool passes_checks(std::string const& key)
    {
        return ask("/check/1", key).body.find("no usable upstream") != std::string::npos;
    }
    bool has_metric(std::string const& line)
    {
        return ask("/metrics", "", readiness_listen).body.find("guavashed_entry_" + line + "\n") !=
               std::string::npos;
    }
};

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace

// Guards against keys accepted beyond the lease, and against a lease for changes that the host
// lacks.
SCENARIO("an entry host accepts keys while the leader confirms its view")
{
    deployment system;
    REQUIRE(system.passes_checks("key-two"));
    CHECK(system.ask("/check/1", "key-none").status == 401);

    WHEN("the leader does not answer any more")
    {
        system.control.answers = false;
        pause(milliseconds(1050));
        auto const refusal = system.ask("/check/1", "key-two");
        CHECK(refusal.status == 503);
        CHECK(refusal.body.find("cannot check keys") != std::string::npos);
        CHECK_FALSE(refusal.field("Retry-After").empty());
        CHECK(system.ask("/check/1", "key-none").status == 503);
        CHECK(system.ask("/nowhere", "key-two").status == 404);
        AND_WHEN("it answers again")
        {
            system.control.answers = true;
            pause(milliseconds(700));
            CHECK(system.passes_checks("key-two"));
        }
    }
    WHEN("the leader names a change that the view lacks")
    {
        system.control.access_index = 9;
        pause(milliseconds(1600));
        CHECK(system.ask("/check/1", "key-two").body.find("cannot check") != std::string::npos);
        AND_WHEN("the view arrives")
        {
            system.control.push(9);
            pause(milliseconds(100));
            CHECK(system.passes_checks("key-two"));
        }
    }
}

// Guards against requests that are served without a key because the host's view is older than the
// first table of workspaces.
SCENARIO("an entry host whose view lacks the table of workspaces doesn't serve without a lease")
{
    deployment system(false, 9);
    auto const refusal = system.ask("/check/1", "");
    CHECK(refusal.status == 503);
    CHECK(refusal.body.find("cannot check keys") != std::string::npos);

    WHEN("the view arrives with the table")
    {
        system.control.has_workspaces = true;
        system.control.push(9);
        pause(milliseconds(100));
        CHECK(system.passes_checks("key-two"));
        CHECK(system.ask("/check/1", "").status == 401);
    }
    WHEN("the leader confirms that there is no table")
    {
        system.control.access_index = first_index;
        pause(milliseconds(700));
        CHECK(system.passes_checks(""));
    }
}

// Guards against callers that wait for credit for ever, and against requests that stay behind after
// their callers have left or when the host stops.
SCENARIO("a request waits a short time for credit")
{
    deployment system;

    WHEN("the leader grants credit")
    {
        system.control.credit = 1;
        CHECK(system.passes_checks("key-one"));
        CHECK(system.has_metric("held_for_credit_total 1"));
        CHECK(system.has_metric("credit_refunds_total 1"));
    }
    WHEN("the leader says that the limit is used up")
    {
        system.control.wait_ms = 800;
        auto const refusal = system.ask("/check/1", "key-one");
        CHECK(refusal.status == 429);
        REQUIRE_FALSE(refusal.field("Retry-After").empty());
        double const wait_s = std::stod(std::string(refusal.field("Retry-After")));
        CHECK(wait_s >= 0.8);
        CHECK(wait_s < 1.1);
        CHECK(system.has_metric("over_limit_total 1"));
    }
    WHEN("the leader does not answer")
    {
        system.control.answers = false;
        instant const start = instant::clock::now();
        auto const refusal = system.ask("/check/1", "key-one");
        auto const took = instant::clock::now() - start;
        CHECK(refusal.status == 503);
        CHECK(refusal.body.find("no credit") != std::string::npos);
        CHECK(took >= milliseconds(250));
        CHECK(took < milliseconds(600));
        CHECK(system.has_metric("held_for_credit_timeouts_total 1"));
    }
    WHEN("a caller leaves")
    {
        system.control.answers = false;
        system.begin("/check/1", "key-one", milliseconds(60)).get();
        pause(milliseconds(60));
        CHECK(system.has_metric("held_for_credit 0"));
        CHECK(system.has_metric("held_for_credit_total 1"));
        CHECK(system.has_metric("held_for_credit_timeouts_total 0"));
    }
    WHEN("the host stops")
    {
        system.control.answers = false;
        auto answer = system.begin("/check/1", "key-one");
        pause(milliseconds(50));
        instant const now = instant::clock::now();
        system.entry.leave({now, now + milliseconds(60), now + milliseconds(600)});
        auto const outcome = answer.get();
        REQUIRE(outcome.response);
        CHECK(outcome.response->status == 503);
        CHECK(outcome.response->body.find("this host stops") != std::string::npos);
    }
}
