// Guards against requests that a stopping host takes, although no upstream can answer them in time.
#include "fleet/drain_schedule.hpp"
#include "routing_support.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

SCENARIO("the steps of a planned stop")
{
    auto const grace = milliseconds(GENERATE(500, 1000, 2000, 6000, 10000, 60000));
    INFO("grace " << grace.count() << " ms");
    instant const requested_at = at_ms(5000);
    drain_schedule const steps = plan_drain(requested_at, grace);
    THEN("they follow one another within the grace period")
    {
        CHECK(requested_at < steps.refuse_from);
        CHECK(steps.refuse_from < steps.answer_by);
        CHECK(steps.answer_by < steps.end_by);
        CHECK(steps.end_by < requested_at + grace);
    }
    THEN("requests are taken for no longer than upstreams have left to answer them")
    {
        CHECK(steps.refuse_from - requested_at < steps.end_by - steps.refuse_from);
    }
}

SCENARIO("picks of a host that stops")
{
    upstream_selector board = board_of(whole_view(4));
    route_config const route = roster_route();
    std::set<upstream_name> const tried;
    pick_refusal refusal;
    auto const chosen_with = [&](instant host_stops_at)
    {
        return board
            .choose({route, route.parts[0].service, "7", tried, at_ms(1000), host_stops_at},
                    at_ms(0), refusal)
            .has_value();
    };
    GIVEN("no stop")
    {
        CHECK(chosen_with(instant::max()));
    }
    GIVEN("a stop far behind the predicted answer")
    {
        CHECK(chosen_with(at_ms(900)));
    }
    GIVEN("a stop before or soon after the predicted answer")
    {
        // A first answer is predicted for 0.4 of the objective, 160 ms, and a round trip.
        CHECK_FALSE(chosen_with(at_ms(GENERATE(0, 100, 160, 250))));
        CHECK(refusal.why == pick_failure::too_late);
        CHECK(refusal.expected_ms > 0);
    }
}
