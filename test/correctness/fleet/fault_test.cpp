// Fault injection tests of a deployment of real processes on loopback.
#include "fleet.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <thread>

using fleet_test::fleet;
namespace json = boost::json;

namespace
{

fleet_test::fleet_options options_for(std::string const& name, unsigned base_port)
{
    fleet_test::fleet_options out;
    out.example_folder = std::string(GUAVASHED_SOURCE_FOLDER) + "/examples/harvesters";
    out.binary_folder = GUAVASHED_BINARY_FOLDER;
    out.work_folder = std::string(GUAVASHED_BINARY_FOLDER) + "/run-" + name;
    out.base_port = base_port;
    out.seed = 20261204;
    return out;
}

void pause_s(double s)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(int(s * 1000)));
}

std::vector<std::string> const mixed_load = {"roster/confirm=100:3000:keyed",
                                             "roster/check=150:3000", "archive/read=60:3000"};

std::uint64_t number(json::object const& report, char const* work, char const* field)
{
    return report.at(work).as_object().at(field).to_number<std::uint64_t>();
}

std::uint64_t version_of(json::object const& status)
{
    return status.at("version").to_number<std::uint64_t>();
}

/// Plans and confirms one change. Returns whether it was accepted and in force everywhere in time.
bool change(fleet& cluster, std::string const& upstream)
{
    int code = 1;
    cluster.tool({"--out=" + cluster.path("change.json"), "drain", "upstream", upstream}, &code);
    if (code != 0)
        return false;
    std::string const out = cluster.tool({"confirm", cluster.path("change.json")}, &code);
    return code == 0 && out.find("in force everywhere") != std::string::npos;
}

bool leads(fleet& cluster)
{
    json::object const status = cluster.status();
    return status.contains("leader") && status.at("leader").as_string() != "" &&
           status.at("fresh").as_bool();
}

bool all_vote(fleet& cluster)
{
    json::object const status = cluster.status();
    if (!status.contains("members"))
        return false;
    std::size_t voters = 0;
    for (auto const& member : status.at("members").as_array())
        voters += member.as_object().at("votes").as_bool() ? 1 : 0;
    return voters == cluster.controls();
}

unsigned index_of_control(std::string const& name)
{
    return static_cast<unsigned>(std::stoul(name.substr(1)));
}

void check_call_invariants(fleet& cluster, json::object const& report)
{
    auto const keys = cluster.check_keys();
    CHECK(keys.confirmations > 0);
    CHECK(keys.doubled == 0);
    CHECK(keys.false_not_run == 0);
    CHECK(keys.answered_not_run == 0);
    for (auto const& field : report)
        CHECK(field.value().as_object().at("mixed").to_number<std::uint64_t>() == 0);
}

} // namespace

// Guards against keyed requests that run twice, wrong "not run" outcomes and crossed responses
// after host failures. They can come about when an entry host is killed with requests in flight,
// when a control host restarts without its records of keys, or when a frozen entry host resumes
// after the leases of its upstreams have expired.
SCENARIO("keyed requests run at most once while hosts are killed, frozen and restarted")
{
    fleet cluster(options_for("kills", 25000));
    REQUIRE(cluster.start());

    cluster.start_load("load", mixed_load, 16, 5);
    pause_s(1);
    // Kills an entry host with requests in flight.
    cluster.signal(cluster.entry_name(2), SIGKILL);
    pause_s(2);
    // Kills a control host, which records keys, and restarts it with an empty disk.
    cluster.signal(cluster.control_name(1), SIGKILL);
    cluster.await(cluster.control_name(1));
    std::filesystem::remove_all(cluster.data_folder(1));
    pause_s(1);
    cluster.start_control(1);
    cluster.await(cluster.entry_name(2));
    cluster.start_entry(2);
    // Freezes an entry host for longer than the leases of its upstreams, then resumes it.
    cluster.signal(cluster.entry_name(5), SIGSTOP);
    pause_s(4);
    cluster.signal(cluster.entry_name(5), SIGCONT);
    // Kills a group of upstreams.
    cluster.signal(cluster.group_name(0), SIGKILL);
    json::object const report = cluster.await_load("load");

    THEN("no keyed request runs twice, and reported outcomes are correct")
    {
        check_call_invariants(cluster, report);
        CHECK(number(report, "roster/confirm", "answered") * 100 >=
              number(report, "roster/confirm", "sent") * 80);
        AND_THEN("the host with the lost disk votes again after it has caught up with the log")
        {
            CHECK(cluster.wait_until(20, all_vote));
        }
        AND_THEN("all processes except the killed upstreams stop gracefully")
        {
            CHECK(cluster.stop_gracefully() == 1);
            auto totals = cluster.upstream_totals();
            CHECK(totals["overruns"] == 0);
            CHECK(totals["late_work"] == 0);
            CHECK(totals["cut_at_exit"] == 0);
        }
    }
}

// Guards against the loss or rollback of an accepted change, and against two changes accepted for
// the same version. They can come about when the leader or all control hosts fail, when a frozen
// former leader resumes, or when an operator resends a confirmation whose response was lost.
SCENARIO("an accepted configuration survives failures of control hosts")
{
    fleet cluster(options_for("control", 26000));
    REQUIRE(cluster.start());
    REQUIRE(change(cluster, "first"));
    std::uint64_t const before = version_of(cluster.status());

    WHEN("the leader is killed and another change is made")
    {
        std::string const leader(cluster.status().at("leader").as_string());
        cluster.signal(leader, SIGKILL);
        cluster.await(leader);
        REQUIRE(cluster.wait_until(10, leads));
        CHECK(change(cluster, "second"));
        cluster.start_control(index_of_control(leader));
        AND_WHEN("all control hosts are killed and restarted")
        {
            for (unsigned i = 0; i < cluster.controls(); ++i)
                cluster.signal(cluster.control_name(i), SIGKILL);
            for (unsigned i = 0; i < cluster.controls(); ++i)
                cluster.await(cluster.control_name(i));
            pause_s(3);
            for (unsigned i = 0; i < cluster.controls(); ++i)
                cluster.start_control(i);
            REQUIRE(cluster.wait_until(15, leads));
            THEN("no accepted change is lost, and new changes are accepted")
            {
                CHECK(version_of(cluster.status()) > before);
                CHECK(cluster.tool({"configuration"}).find("second") != std::string::npos);
                CHECK(change(cluster, "third"));
            }
        }
    }
    WHEN("the leader freezes for 5 s and resumes")
    {
        std::string const leader(cluster.status().at("leader").as_string());
        cluster.signal(leader, SIGSTOP);
        pause_s(5);
        REQUIRE(change(cluster, "while frozen"));
        cluster.signal(leader, SIGCONT);
        pause_s(2);
        THEN("it follows the new leader")
        {
            CHECK(cluster.tool({"configuration"}).find("while frozen") != std::string::npos);
            CHECK(change(cluster, "after"));
        }
    }
    WHEN("two operators confirm plans made from the same version")
    {
        int first = 1;
        int second = 1;
        cluster.tool({"--out=" + cluster.path("a.json"), "drain", "upstream", "a"}, &first);
        cluster.tool({"--out=" + cluster.path("b.json"), "drain", "upstream", "b"}, &second);
        REQUIRE(first == 0);
        REQUIRE(second == 0);
        std::string const won = cluster.tool({"--json", "confirm", cluster.path("a.json")}, &first);
        cluster.tool({"confirm", cluster.path("b.json")}, &second);
        CHECK(first == 0);
        CHECK(second == 1);
        THEN("a resent confirmation gets the first response")
        {
            int again = 1;
            std::string const repeated =
                cluster.tool({"--json", "confirm", cluster.path("a.json")}, &again);
            CHECK(again == 0);
            CHECK(json::parse(repeated).as_object().at("version") ==
                  json::parse(won).as_object().at("version"));
            cluster.tool({"confirm", cluster.path("b.json")}, &again);
            CHECK(again == 1);
        }
    }
    CHECK(cluster.stop_gracefully() == 0);
}

// Guards against the loss of one region stopping the service in the others, which can come about
// when they wait for its control hosts, entry hosts or upstreams. All of these are killed at once.
SCENARIO("the loss of one region leaves the other regions in service")
{
    fleet cluster(options_for("region", 27000));
    REQUIRE(cluster.start());
    cluster.start_load("load", mixed_load, 12, 6);
    pause_s(2);
    // Kills the first region at once: two control hosts, four entry hosts and its upstreams.
    for (unsigned i = 0; i < 2; ++i)
        cluster.signal(cluster.control_name(i), SIGKILL);
    for (unsigned i = 0; i < 4; ++i)
        cluster.signal(cluster.entry_name(i), SIGKILL);
    for (unsigned i = 0; i < cluster.upstream_groups(); ++i)
        if (cluster.group_name(i).find("reunion") != std::string::npos)
            cluster.signal(cluster.group_name(i), SIGKILL);
    json::object const report = cluster.await_load("load");
    THEN("the other regions keep serving and accept a change")
    {
        check_call_invariants(cluster, report);
        // A third of the callers are near the lost region. They fail until their cached lookups
        // expire, and then use other regions.
        CHECK(number(report, "roster/check", "in_deadline") * 100 >=
              number(report, "roster/check", "sent") * 85);
        CHECK(change(cluster, "after the loss"));
    }
}
