// Tests of the lease of keys on an entry host: a key must not be accepted later than the revocation
// time after its removal was acknowledged, and a host that is cut off for a while must not refuse
// callers before that.
#include "access/access_lease.hpp"
#include "access/held_queue.hpp"

#include <catch2/catch.hpp>

using namespace guavashed;

namespace
{

constexpr milliseconds revoke_time{5000};
endpoint_text const leader("10.0.0.1:7720");
endpoint_text const follower("10.0.0.2:7720");
endpoint_text const third("10.0.0.3:7720");

/// An entry host whose exchanges with the control hosts the test carries out one by one.
struct entry
{
    access_lease lease{{true, revoke_time}, host_name("e0"), incarnation(7)};
    instant now{std::chrono::hours(1)};
    lease_need need{true, false, false, 68};
    std::vector<endpoint_text> open{leader, follower, third};

    /// Sends a request; the result is the answer that the leader gives to it.
    lease_grant ask(std::uint64_t access_index = 3)
    {
        lease.select(open, follower, now);
        auto const request = lease.begin_request(now);
        lease_grant out;
        out.host = request.host;
        out.life = request.life;
        out.number = request.number;
        out.leader = leader;
        out.access_index = access_index;
        return out;
    }
    void pass(milliseconds time) { now += time; }
    bool usable() const { return lease.keys_usable(now); }
    milliseconds until_next() const
    {
        return std::chrono::duration_cast<milliseconds>(lease.next_request(need) - now);
    }
};

} // namespace

SCENARIO("keys are usable for a bounded time after the leader was asked")
{
    entry host;
    host.lease.note_view(3);
    CHECK_FALSE(host.usable());

    GIVEN("a grant that arrived 200 ms after its request was sent")
    {
        auto const first = host.ask();
        host.pass(milliseconds(200));
        REQUIRE(host.lease.accept(first, host.now) == host.now - milliseconds(200));
        CHECK(host.usable());

        WHEN("the host is cut off")
        {
            THEN("keys stay usable for 3 s and end before the revocation time, from the sending")
            {
                host.pass(milliseconds(3000));
                CHECK(host.usable());
                host.pass(milliseconds(1749));
                CHECK(host.usable());
                host.pass(milliseconds(1));
                CHECK_FALSE(host.usable());
            }
        }
        WHEN("the host is suspended, and a grant from before arrives after it")
        {
            auto const late = host.ask();
            host.pass(milliseconds(60000));
            host.lease.accept(late, host.now);
            THEN("neither lease is usable any more")
            {
                CHECK_FALSE(host.usable());
            }
            AND_WHEN("a new request is answered")
            {
                host.lease.accept(host.ask(), host.now);
                CHECK(host.usable());
            }
        }
        WHEN("a grant for a change that the view lacks arrives")
        {
            host.pass(milliseconds(500));
            host.lease.accept(host.ask(9), host.now);
            THEN("the earlier lease goes on, and the new one begins with the view")
            {
                CHECK(host.usable());
                CHECK(host.lease.waits_for_view(host.now));
                host.pass(milliseconds(4400));
                CHECK_FALSE(host.usable());
                host.lease.note_view(8);
                CHECK_FALSE(host.usable());
                host.lease.note_view(9);
                CHECK(host.usable());
            }
        }
        WHEN("grants of another process, of no request, or of an answered one arrive")
        {
            host.pass(milliseconds(1000));
            auto other = host.ask();
            other.life = incarnation(6);
            CHECK_FALSE(host.lease.accept(other, host.now));
            other.life = incarnation(7);
            other.number = 99;
            CHECK_FALSE(host.lease.accept(other, host.now));
            CHECK_FALSE(host.lease.accept(first, host.now));
            THEN("they change nothing")
            {
                host.pass(milliseconds(3750));
                CHECK_FALSE(host.usable());
                CHECK(host.lease.counters().unexpected_grants == 3);
            }
        }
    }
    GIVEN("a deployment that does not revoke strictly")
    {
        access_lease const lease({false, revoke_time}, host_name("e0"), incarnation(7));
        CHECK(lease.keys_usable(host.now));
    }
}

// Guards against requests whose bytes between regions cost a large fleet more than it earns.
SCENARIO("an entry host asks as often as it needs to")
{
    entry host;
    host.lease.accept(host.ask(), host.now);

    host.need.entry_hosts = 50;
    CHECK(host.until_next() == milliseconds(300));
    host.need.has_uses = true;
    CHECK(host.until_next() == milliseconds(300));
    host.need.urgent = true;
    CHECK(host.until_next() == milliseconds(50));

    WHEN("three times as many hosts share the leader")
    {
        host.need = {true, false, false, 150};
        CHECK(host.until_next() == milliseconds(750));
        host.need.has_uses = true;
        CHECK(host.until_next() == milliseconds(600));
        host.need.urgent = true;
        CHECK(host.until_next() == milliseconds(150));
    }

    WHEN("nobody has answered for a while")
    {
        host.ask();
        host.pass(milliseconds(400));
        host.ask();
        THEN("callers that wait cause fewer requests")
        {
            CHECK(host.until_next() == milliseconds(150));
        }
    }
    WHEN("a thousand hosts share the leader")
    {
        host.need = {true, true, false, 1000};
        CHECK(host.until_next() == milliseconds(1000));
    }
    WHEN("a session opens after a second without an exchange")
    {
        host.need = {true, false, false, 68};
        host.pass(milliseconds(1000));
        host.ask();
        host.pass(milliseconds(360));
        host.lease.note_session_opened(host.now);
        THEN("it asks at once")
        {
            CHECK(host.until_next() <= milliseconds(0));
        }
    }
    WHEN("the configuration needs no lease")
    {
        host.need.active = false;
        CHECK(host.lease.next_request(host.need) == instant::max());
    }
}

SCENARIO("requests go to the leader, and around one that does not answer")
{
    entry host;
    auto const target = [&] { return host.lease.select(host.open, follower, host.now); };
    CHECK(target() == follower);
    host.lease.accept(host.ask(), host.now);
    CHECK(target() == leader);

    WHEN("the session with the leader breaks")
    {
        host.open = {follower, third};
        CHECK(target() == follower);
    }
    WHEN("the leader stays silent")
    {
        host.ask();
        host.pass(milliseconds(650));
        host.ask();
        CHECK(target() == leader);
        host.pass(milliseconds(50));
        CHECK(target() == follower);
        AND_WHEN("the next one stays silent as well")
        {
            host.ask();
            host.pass(milliseconds(700));
            CHECK(target() == third);
        }
        AND_WHEN("it passes on the grant of a new leader")
        {
            auto grant = host.ask();
            grant.leader = third;
            host.lease.accept(grant, host.now);
            CHECK(target() == third);
        }
    }
    WHEN("no session is open")
    {
        host.open.clear();
        CHECK(target() == endpoint_text());
        THEN("the predicted time until a grant grows with the outage, to a bound")
        {
            host.pass(milliseconds(1000));
            CHECK(host.lease.expected_grant_ms(host.now) == Approx(500));
            host.pass(milliseconds(10000));
            CHECK(host.lease.expected_grant_ms(host.now) == Approx(1500));
        }
    }
}

// Guards against callers that wait for credit without end, or in any number.
SCENARIO("a bounded number of items is held for a bounded time")
{
    held_queue<int> queue(2);
    instant const start{std::chrono::hours(1)};
    CHECK(queue.add(1, start + milliseconds(250)));
    CHECK(queue.add(2, start + milliseconds(350)));
    CHECK_FALSE(queue.add(3, start + milliseconds(350)));
    CHECK(queue.next_expiry() == start + milliseconds(250));

    WHEN("one leaves")
    {
        queue.remove(1);
        CHECK(queue.take_expired(start + milliseconds(300)).empty());
        CHECK(queue.take_expired(start + milliseconds(350)) == std::vector<int>{2});
        CHECK(queue.empty());
    }
    WHEN("one with an earlier deadline is added later")
    {
        queue.remove(2);
        CHECK(queue.add(5, start + milliseconds(200)));
        CHECK(queue.take_expired(start + milliseconds(200)) == std::vector<int>{5});
    }
    WHEN("an item is put back after a newer one was added")
    {
        auto held = queue.take_all();
        queue.add(4, start + milliseconds(450));
        queue.put_back(held.front());
        THEN("its own deadline applies")
        {
            CHECK(queue.take_expired(start + milliseconds(250)) == std::vector<int>{1});
        }
    }
}
