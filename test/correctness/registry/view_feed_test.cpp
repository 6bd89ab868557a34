// Tests when control hosts push changes to entry hosts.
#include "fleet/view_feed.hpp"

#include "../routing/routing_support.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

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
        fixture.feed.note_entries(2);
        CHECK_FALSE(fixture.first_push(group_role::follower, source, drain));
        push_decision const decision = fixture.feed.decide(fixture.now, group_role::leader, other);
        REQUIRE(decision.push);
        CHECK(decision.with_entries);
        fixture.feed.record_push(fixture.now, decision, other);
        CHECK_FALSE(fixture.first_push(group_role::leader, other, drain));
        fixture.feed.note_entries(2);
        CHECK(fixture.first_push(group_role::leader, other, drain) == milliseconds(2000));
    }
}

/// Entry hosts that are connected to a leader one after the other, and send to one cold upstream
/// whenever they may.
class starting_hosts
{
public:
    /// The hosts connect within `spread`. They have a view and the list of all hosts already if
    /// `have_views` is set.
    starting_hosts(std::size_t count, milliseconds spread, bool have_views)
    {
        fleet_changes view = whole_view(1, count);
        view.upstreams[0].cold_left_ms = cold_ms;
        if (!have_views)
            view.entries.clear();
        feed_.start(at_ms(0));
        for (std::size_t i = 0; i < count; ++i)
        {
            std::string const name = "e" + std::to_string(i);
            host added{name, board_of(view, name), {}, 0};
            added.connect_ms =
                static_cast<std::int64_t>(i) * spread.count() / static_cast<std::int64_t>(count);
            added.position.view_index = have_views ? 1 : 0;
            added.position.began_empty = !have_views;
            added.position.is_source = true;
            hosts_.push_back(std::move(added));
        }
    }

    /// Most requests that all hosts together send to the upstream within one second.
    std::size_t most_in_a_second()
    {
        for (std::int64_t now = 0; now < cold_ms; now += step_ms)
        {
            for (auto& item : hosts_)
                if (item.connect_ms / step_ms == now / step_ms)
                    feed_.note_entries(++connected_);
            for (auto& item : hosts_)
                step(item, now);
        }
        std::size_t most = 0;
        for (auto const from : sends_)
            most = std::max(most, static_cast<std::size_t>(
                                      std::count_if(sends_.begin(), sends_.end(),
                                                    [from](std::int64_t at)
                                                    { return at >= from && at < from + 1000; })));
        return most;
    }

private:
    struct host
    {
        std::string name;
        upstream_selector board;
        feed_position position;
        std::int64_t connect_ms = 0;
    };
    static constexpr std::int64_t cold_ms = 5000;
    static constexpr std::int64_t step_ms = 20;

    void step(host& item, std::int64_t now)
    {
        if (item.connect_ms <= now)
        {
            push_decision const decision =
                feed_.decide(at_ms(now), group_role::leader, item.position);
            if (decision.push)
                push(item, decision, now);
        }
        if (item.position.view_index == 0 || pick_for(item.board, "object", now).empty())
            return;
        sends_.push_back(now);
        attempt_report answered;
        answered.result = attempt_result::answered;
        answered.took_ms = 100;
        pick const at{upstream_name("u0"), 1000, {}, 0, 0, 0, false};
        item.board.report(at, "checks", answered, at_ms(now));
    }

    void push(host& item, push_decision decision, std::int64_t now)
    {
        fleet_changes changes;
        changes.from = changes.to = 1;
        if (decision.with_entries)
            for (auto const& other : hosts_)
                if (other.connect_ms <= now)
                    changes.entries.push_back(entry_hash(host_name(other.name)));
        item.board.apply(changes, at_ms(now));
        feed_.record_push(at_ms(now), decision, item.position);
        item.position.view_index = 1;
    }

    view_feed feed_;
    std::vector<host> hosts_;
    std::size_t connected_ = 0;
    std::vector<std::int64_t> sends_;
};

// Guards against an overload of cold upstreams after a power loss: a few entry hosts share the rate
// at which each is warmed up, and hosts that know only a few of the others all count themselves in.
TEST_CASE("entry hosts that connect one after the other keep to the warm-up rate")
{
    // A cold upstream serves 6 requests per second; the required bound is 1.5 times that plus 5.
    constexpr std::size_t bound = 14;
    std::size_t const count = GENERATE(12u, 79u, 300u);
    milliseconds const spread(GENERATE(400, 2000, 4000));
    INFO(count << " hosts within " << spread.count() << " ms");
    SECTION("all hosts lost their power and have no view")
    {
        CHECK(starting_hosts(count, spread, false).most_in_a_second() <= bound);
    }
    SECTION("all control hosts lost their power, and the entry hosts ran on")
    {
        CHECK(
            starting_hosts(count, std::min(spread, milliseconds(2000)), true).most_in_a_second() <=
            bound);
    }
}

} // namespace
} // namespace guavashed
