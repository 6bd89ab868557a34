// Tests of the decisions made on the fleet view (choose_forward, choose_home,
// choose_rebalance_target) and of presence_table.
#include "control/presence_table.hpp"
#include "entry/choose_forward.hpp"
#include "entry/choose_home.hpp"
#include "support.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace guavashed;

namespace
{

/// A serving host of the service "roster" with a mean service time of 40 ms.
host_row row_of(std::string const& host, char const* region, std::uint16_t slots,
                std::uint16_t in_flight = 0, std::uint16_t waiting = 0)
{
    host_row out;
    out.host = host_name(host);
    out.life = incarnation(1);
    out.region = region_name(region);
    out.domain = failure_domain_name(std::string(region) + "-a");
    out.phase = host_phase::serving;
    out.services.push_back({service_name("roster"), slots, in_flight, {0, waiting, 0}, 40'000});
    return out;
}

fleet_view view_of(std::vector<host_row> rows)
{
    fleet_view out;
    view_push push;
    push.whole = true;
    push.changed = std::move(rows);
    out.apply(push);
    return out;
}

std::uint32_t none_outstanding(host_name const&)
{
    return 0;
}
bool link_open(region_name const&)
{
    return true;
}
bool link_full(region_name const&)
{
    return false;
}

forward_inputs inputs_of(host_row const& self, std::int64_t wait_ms)
{
    forward_inputs out;
    out.self = &self;
    out.service = service_name("roster");
    out.importance = rank::normal;
    out.local_wait = milliseconds(wait_ms);
    out.latest_start = milliseconds(1000);
    return out;
}

} // namespace

// Guards against forwards that make matters worse: to hosts that are as busy, over links without
// bandwidth, out of an isolated region, or from all hosts to the same one on a stale view.
SCENARIO("a request is forwarded only to a host that runs it sooner")
{
    host_row const self = row_of("e0", "north", 8, 8, 100);
    GIVEN("a host of the same region with free slots")
    {
        auto const view = view_of({self, row_of("e1", "north", 8, 1)});
        CHECK(choose_forward(view, inputs_of(self, 500), none_outstanding, link_open) != nullptr);
        CHECK(choose_forward(view, inputs_of(self, 3), none_outstanding, link_open) == nullptr);
    }
    GIVEN("only a host that is as busy")
    {
        auto const view = view_of({self, row_of("e1", "north", 8, 8, 100)});
        CHECK(choose_forward(view, inputs_of(self, 500), none_outstanding, link_open) == nullptr);
    }
    GIVEN("free slots in another region only")
    {
        auto const view = view_of({self, row_of("e9", "south", 8, 0)});
        auto inputs = inputs_of(self, 500);
        CHECK(choose_forward(view, inputs, none_outstanding, link_open) != nullptr);
        THEN("a link without free bandwidth prevents the forward")
        {
            CHECK(choose_forward(view, inputs, none_outstanding, link_full) == nullptr);
        }
        THEN("an isolated host does not forward to another region")
        {
            inputs.may_cross_regions = false;
            CHECK(choose_forward(view, inputs, none_outstanding, link_open) == nullptr);
        }
    }
    GIVEN("a host with free slots in the view and 200 unanswered forwards from this host")
    {
        auto const view = view_of({self, row_of("e1", "north", 8, 0)});
        auto const many = [](host_name const&) { return 200U; };
        THEN("the request is not forwarded to it")
        {
            CHECK(choose_forward(view, inputs_of(self, 500), many, link_open) == nullptr);
        }
    }
}

// Guards against uneven homes: one entry host would have most upstreams of its region while the
// others have to forward. Also guards against moves that only swap the imbalance and so never end.
SCENARIO("upstreams are spread over the entry hosts of their region")
{
    auto const view = view_of({row_of("e0", "north", 0), row_of("e1", "north", 0),
                               row_of("e2", "north", 0), row_of("s0", "south", 0)});
    std::map<std::string, int> homes;
    for (int i = 0; i < 60; ++i)
    {
        auto const* home = choose_home(view, upstream_name("u" + std::to_string(i)),
                                       service_name("roster"), region_name("north"));
        REQUIRE(home != nullptr);
        ++homes[home->host.value()];
    }
    CHECK(homes.size() == 3);
    CHECK(homes.count("s0") == 0);
    CHECK(choose_home(view, upstream_name("u"), service_name("roster"), region_name("west")) ==
          nullptr);
    WHEN("one host has 16 slots and another 4")
    {
        auto const uneven = view_of({row_of("e0", "north", 16), row_of("e1", "north", 4)});
        CHECK(choose_rebalance_target(uneven, *uneven.find(host_name("e0")), service_name("roster"),
                                      slot_count(4)) != nullptr);
        CHECK(choose_rebalance_target(uneven, *uneven.find(host_name("e1")), service_name("roster"),
                                      slot_count(4)) == nullptr);
        THEN("a move that would only swap the slot counts is not proposed")
        {
            auto const near = view_of({row_of("e0", "north", 8), row_of("e1", "north", 4)});
            CHECK(choose_rebalance_target(near, *near.find(host_name("e0")), service_name("roster"),
                                          slot_count(4)) == nullptr);
        }
    }
}

// Guards against hosts that stay in view after they have failed, against late messages of an older
// incarnation that replace newer ones, and against sending work to a host in a restart loop.
SCENARIO("a host's presence ends with its lease")
{
    presence_table table;
    REQUIRE(table.renew(at_ms(0), row_of("e0", "north", 8), at_ms(2500)));
    std::uint64_t seen = 0;
    CHECK(table.changes_since(seen).whole);
    CHECK(table.changes_since(seen).changed.empty());
    WHEN("the lease ends")
    {
        CHECK(table.expire(at_ms(2499)).empty());
        CHECK(table.expire(at_ms(2500)).size() == 1);
        auto const push = table.changes_since(seen);
        CHECK(push.gone.size() == 1);
        CHECK(table.rows().empty());
    }
    WHEN("a message of an older incarnation arrives after a restart")
    {
        host_row next = row_of("e0", "north", 8);
        next.life = incarnation(2);
        REQUIRE(table.renew(at_ms(100), next, at_ms(2600)));
        CHECK_FALSE(table.renew(at_ms(200), row_of("e0", "north", 99), at_ms(2700)));
        CHECK(table.find(host_name("e0"))->services[0].slots == 8);
    }
    WHEN("a host restarts four times within five seconds")
    {
        for (std::uint64_t life = 2; life < 6; ++life)
        {
            host_row next = row_of("e0", "north", 8);
            next.life = incarnation(life);
            table.renew(at_ms(static_cast<std::int64_t>(life) * 1000), next, at_ms(60'000));
        }
        THEN("it is shown as starting, and as serving 35 s later")
        {
            CHECK(table.find(host_name("e0"))->phase == host_phase::starting);
            host_row same = row_of("e0", "north", 8);
            same.life = incarnation(5);
            table.renew(at_ms(40'000), same, at_ms(60'000));
            CHECK(table.find(host_name("e0"))->phase == host_phase::serving);
        }
    }
}
