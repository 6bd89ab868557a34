// Tests of control_state, the replicated state machine of the control group.
#include "control/control_state.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <rapidcheck/catch.h>

using namespace guavashed;

namespace
{

configuration intent_with_leaving_upstream(std::string const& name)
{
    configuration out;
    region_config north;
    north.name = region_name("north");
    north.failure_domains = {failure_domain_name("a")};
    north.slot_cap = slot_count(8);
    north.entry_hosts = 4;
    region_config south = north;
    south.name = region_name("south");
    out.regions = {north, south};
    out.leaving_upstreams = {upstream_name(name)};
    return out;
}

control_command confirm(std::string const& operation, std::uint64_t base, std::string const& change)
{
    control_command out;
    out.operation = operation_id(operation);
    out.base = config_version(base);
    out.config = intent_with_leaving_upstream(change);
    return out;
}

} // namespace

// Guards against a lost update: two operators plan from the same version and both confirm, and the
// second would undo the first operator's change unseen. Also guards against a second execution of
// an operation that is sent again after its answer was lost.
SCENARIO("of two plans from the same version only the first is accepted")
{
    control_state state;
    GIVEN("two plans from the same version")
    {
        auto const won = state.apply(confirm("a", 0, "x"));
        auto const lost = state.apply(confirm("b", 0, "y"));
        CHECK(won.accepted);
        CHECK_FALSE(lost.accepted);
        THEN("the refusal of the second lists the changes since the plan")
        {
            CHECK(lost.detail.find("leaving upstream x") != std::string::npos);
        }
        THEN(
            "an operation sent again gets its first answer, also after more changes and a snapshot")
        {
            state.apply(confirm("c", 1, "z"));
            control_state copy;
            REQUIRE(copy.load(state.save()));
            CHECK(copy.apply(confirm("a", 0, "x")) == won);
            CHECK(copy.apply(confirm("b", 0, "y")) == lost);
            CHECK(copy.version() == state.version());
        }
    }
    GIVEN("1000 pairs of plans from the same version")
    {
        std::mt19937_64 random(20261204);
        std::uint64_t accepted = 0;
        for (int round = 0; round < 1000; ++round)
        {
            std::uint64_t const base = state.intent_version().value();
            unsigned winners = 0;
            for (int who = 0; who < 2; ++who)
                winners += state.apply(confirm(std::to_string(round) + "-" + std::to_string(who),
                                               base, std::to_string(random())))
                                   .accepted
                               ? 1
                               : 0;
            CHECK(winners == 1);
            accepted += winners;
        }
        CHECK(state.version().value() == accepted);
    }
}

// Guards against a jump of traffic: an operator's intent carries the share of a shift as it was at
// planning time (here 0), and confirming it would reset the share that the leader has since moved.
SCENARIO("confirming another change keeps the current share of a shift in progress")
{
    control_state state;
    configuration intent = intent_with_leaving_upstream("x");
    intent.shifts = {{region_name("north"), region_name("south"), permille(500), permille(0),
                      permille(50), permille(1300)}};
    control_command command = confirm("a", 0, "x");
    command.config = intent;
    REQUIRE(state.apply(command).accepted);
    control_command step;
    step.kind = control_command_kind::shift_step;
    step.shift = intent.shifts[0];
    step.shift.current = permille(50);
    state.apply(step);
    CHECK(state.fleet().config.shifts[0].current == permille(50));
    CHECK(state.version() == config_version(2));
    CHECK(state.intent_version() == config_version(1));
    WHEN("an operator confirms another change that was planned before the step")
    {
        command = confirm("b", 1, "y");
        command.config.shifts = intent.shifts;
        REQUIRE(state.apply(command).accepted);
        CHECK(state.fleet().config.shifts[0].current == permille(50));
    }
}

// Guards against an exceeded region cap: two hosts that hold the same position would each use the
// share of the cap that belongs to it.
SCENARIO("each seat has one holder")
{
    control_state state;
    state.apply(confirm("a", 0, "x"));
    control_command command;
    command.kind = control_command_kind::take_seat;
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        command.taken = {host_name("e" + std::to_string(i)), region_name("north"), i};
        state.apply(command);
    }
    CHECK(state.fleet().seats.size() == 4);
    WHEN("a host that has a seat takes it again")
    {
        auto const before = state.version();
        state.apply(command);
        CHECK(state.version() == before);
    }
    WHEN("another host takes an occupied seat")
    {
        command.taken.host = host_name("new");
        state.apply(command);
        THEN("the earlier holder has lost it")
        {
            CHECK(state.fleet().seats.size() == 4);
            for (auto const& item : state.fleet().seats)
                CHECK(item.host != host_name("e3"));
        }
    }
}

// Guards against a version that goes down and an operation that gets two different answers, which a
// snapshot that omits part of the state would cause. Snapshots are restored at random points.
SCENARIO("control_state invariants hold under random commands")
{
    rc::prop("versions never decrease, and every operation has one answer",
             [](std::uint64_t seed)
             {
                 std::mt19937_64 random(seed);
                 control_state state;
                 std::map<std::string, control_answer> answers;
                 for (int i = 0; i < 300; ++i)
                 {
                     config_version const before = state.version();
                     std::string const operation = std::to_string(random() % 100);
                     auto const answer = state.apply(
                         confirm(operation, random() % (state.intent_version().value() + 2),
                                 std::to_string(random() % 5)));
                     auto const [at, fresh] = answers.emplace(operation, answer);
                     RC_ASSERT(at->second == answer);
                     RC_ASSERT(state.version() >= before);
                     if (random() % 20 == 0)
                     {
                         control_state copy;
                         RC_ASSERT(copy.load(state.save()).has_value());
                         state = copy;
                     }
                 }
             });
}
