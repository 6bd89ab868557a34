#include "fleet/view_feed.hpp"

#include <catch2/catch.hpp>
#include <optional>

namespace guavashed
{
namespace
{

struct feed_scene
{
    instant now = instant() + std::chrono::hours(1);
    view_feed feed;

    /// When a control host pushes first, in steps of 10 ms; nothing within `limit`.
    std::optional<milliseconds> first_push(control_part part, feed_position const& at,
                                           milliseconds limit) const
    {
        for (milliseconds waited{0}; waited <= limit; waited += milliseconds(10))
            if (feed.next(now + waited, part, at).push)
                return waited;
        return std::nullopt;
    }
};

TEST_CASE("changes reach entry hosts once, from near by, and in time whoever fails")
{
    feed_scene scene;
    constexpr milliseconds drain{2500};
    feed_position other;
    other.view_index = 5;
    scene.feed.note_change(5, scene.now - std::chrono::seconds(30));
    scene.feed.note_change(9, scene.now);
    feed_position source = other;
    source.source = true;

    SECTION("the source pushes at once, whether it leads or not")
    {
        CHECK(scene.first_push(control_part::follower, source, drain) == milliseconds(0));
        CHECK(scene.first_push(control_part::leader, source, drain) == milliseconds(0));
    }
    SECTION("others wait, so that an entry host that follows its source gets one copy")
    {
        auto const leader = scene.first_push(control_part::leader, other, drain);
        auto const follower = scene.first_push(control_part::follower, other, drain);
        REQUIRE(leader);
        REQUIRE(follower);
        // Push interval, report interval and a round trip between regions.
        CHECK(*leader >= milliseconds(200 + 300 + 110));
        CHECK(*follower > *leader);
        // A push on a thin link follows; all within the time of a drain.
        CHECK(*follower < drain / 2);
    }
    SECTION("a host that stays behind is noticed while changes go on")
    {
        std::uint64_t index = 9;
        bool pushed = false;
        for (int step = 0; step < 15; ++step)
        {
            scene.now += milliseconds(100);
            scene.feed.note_change(++index, scene.now);
            pushed = pushed || scene.feed.next(scene.now, control_part::leader, other).push;
        }
        CHECK(pushed);
    }
    SECTION("a host whose view advances is left to its source while changes go on")
    {
        std::uint64_t index = 9;
        for (int step = 0; step < 50; ++step)
        {
            scene.now += milliseconds(100);
            scene.feed.note_change(++index, scene.now);
            // The report is up to 500 ms old.
            other.view_index = index - 5;
            CHECK_FALSE(scene.feed.next(scene.now, control_part::leader, other).push);
        }
    }
    SECTION("a host apart from the group pushes nothing, even as source")
    {
        CHECK_FALSE(scene.first_push(control_part::apart, source, drain));
    }
    SECTION("an empty view is filled by its source only, again until it is confirmed")
    {
        source.view_index = other.view_index = 0;
        CHECK_FALSE(scene.first_push(control_part::leader, other, drain));
        feed_step const step = scene.feed.next(scene.now, control_part::follower, source);
        CHECK(step.push);
        CHECK(step.with_entries);
        scene.feed.sent(scene.now, step, source);
        CHECK(scene.first_push(control_part::follower, source, drain) == milliseconds(1000));
    }
    SECTION("a push that was not confirmed is sent again; one that was is not")
    {
        feed_step const step = scene.feed.next(scene.now, control_part::follower, source);
        scene.feed.sent(scene.now, step, source);
        CHECK(scene.first_push(control_part::follower, source, drain) == milliseconds(1000));
        source.view_index = 9;
        CHECK_FALSE(scene.first_push(control_part::follower, source, drain));
    }
    SECTION("the leader alone renews the list of entry hosts, at a bounded rate")
    {
        other.view_index = source.view_index = 9;
        scene.feed.note_entries();
        CHECK_FALSE(scene.first_push(control_part::follower, source, drain));
        feed_step const step = scene.feed.next(scene.now, control_part::leader, other);
        REQUIRE(step.push);
        CHECK(step.with_entries);
        scene.feed.sent(scene.now, step, other);
        CHECK_FALSE(scene.first_push(control_part::leader, other, drain));
        scene.feed.note_entries();
        CHECK(scene.first_push(control_part::leader, other, drain) == milliseconds(2000));
    }
}

} // namespace
} // namespace guavashed
