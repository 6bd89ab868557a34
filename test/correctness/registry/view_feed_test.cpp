// Tests when control hosts push changes to entry hosts.
#include "fleet/view_feed.hpp"

#include <catch2/catch.hpp>
#include <optional>

namespace guavashed
{
namespace
{

struct feed_fixture
{
    instant now = instant() + std::chrono::hours(1);
    view_feed feed;

    /// Time until the first push, in steps of 10 ms; empty when there is none within `limit`.
    std::optional<milliseconds> first_push(group_role role, feed_position const& position,
                                           milliseconds limit) const
    {
        for (milliseconds waited{0}; waited <= limit; waited += milliseconds(10))
            if (feed.decide(now + waited, role, position).push)
                return waited;
        return std::nullopt;
    }
};

// A change must reach each entry host within the time of a drain, also when its source fails or is
// partitioned; but pushes of the same change by several control hosts would multiply the traffic
// between regions.
TEST_CASE("changes are pushed by the source, and by other control hosts if it fails to deliver")
{
    feed_fixture fixture;
    constexpr milliseconds drain{2500};
    feed_position other;
    other.view_index = 5;
    fixture.feed.note_change(5, fixture.now - std::chrono::seconds(30));
    fixture.feed.note_change(9, fixture.now);
    feed_position source = other;
    source.is_source = true;

    SECTION("the source pushes at once, as leader and as follower")
    {
        CHECK(fixture.first_push(group_role::follower, source, drain) == milliseconds(0));
        CHECK(fixture.first_push(group_role::leader, source, drain) == milliseconds(0));
    }
    SECTION("other control hosts wait, so that an entry host served by its source gets one copy")
    {
        auto const leader = fixture.first_push(group_role::leader, other, drain);
        auto const follower = fixture.first_push(group_role::follower, other, drain);
        REQUIRE(leader);
        REQUIRE(follower);
        // Push interval, report interval and a round trip between regions.
        CHECK(*leader >= milliseconds(200 + 300 + 110));
        CHECK(*follower > *leader);
        // The push over a slow link must still fit in the time of a drain.
        CHECK(*follower < drain / 2);
    }
    SECTION("an entry host whose view stays behind is served during continuous changes")
    {
        std::uint64_t index = 9;
        bool pushed = false;
        for (int step = 0; step < 15; ++step)
        {
            fixture.now += milliseconds(100);
            fixture.feed.note_change(++index, fixture.now);
            pushed = pushed || fixture.feed.decide(fixture.now, group_role::leader, other).push;
        }
        CHECK(pushed);
    }
    SECTION("an entry host whose view advances is left to its source during continuous changes")
    {
        std::uint64_t index = 9;
        for (int step = 0; step < 50; ++step)
        {
            fixture.now += milliseconds(100);
            fixture.feed.note_change(++index, fixture.now);
            // The report is up to 500 ms old.
            other.view_index = index - 5;
            CHECK_FALSE(fixture.feed.decide(fixture.now, group_role::leader, other).push);
        }
    }
    SECTION("a control host without a leader pushes nothing, even as source")
    {
        CHECK_FALSE(fixture.first_push(group_role::no_leader, source, drain));
    }
    SECTION("only the source fills an empty view, and repeats the push until it is confirmed")
    {
        source.view_index = other.view_index = 0;
        CHECK_FALSE(fixture.first_push(group_role::leader, other, drain));
        push_decision const decision =
            fixture.feed.decide(fixture.now, group_role::follower, source);
        CHECK(decision.push);
        CHECK(decision.with_entries);
        fixture.feed.record_push(fixture.now, decision, source);
        CHECK(fixture.first_push(group_role::follower, source, drain) == milliseconds(1000));
    }
    SECTION("a push is repeated if it was not confirmed, and not otherwise")
    {
        push_decision const decision =
            fixture.feed.decide(fixture.now, group_role::follower, source);
        fixture.feed.record_push(fixture.now, decision, source);
        CHECK(fixture.first_push(group_role::follower, source, drain) == milliseconds(1000));
        source.view_index = 9;
        CHECK_FALSE(fixture.first_push(group_role::follower, source, drain));
    }
    SECTION("only the leader updates the list of entry hosts, at a bounded rate")
    {
        other.view_index = source.view_index = 9;
        fixture.feed.note_entries();
        CHECK_FALSE(fixture.first_push(group_role::follower, source, drain));
        push_decision const decision = fixture.feed.decide(fixture.now, group_role::leader, other);
        REQUIRE(decision.push);
        CHECK(decision.with_entries);
        fixture.feed.record_push(fixture.now, decision, other);
        CHECK_FALSE(fixture.first_push(group_role::leader, other, drain));
        fixture.feed.note_entries();
        CHECK(fixture.first_push(group_role::leader, other, drain) == milliseconds(2000));
    }
}

} // namespace
} // namespace guavashed
