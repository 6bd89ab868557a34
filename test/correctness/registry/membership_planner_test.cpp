// Tests the choice of membership changes in the control group.
#include "../raft_group.hpp"
#include "fleet/membership_planner.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace guavashed;

namespace
{

known_control present(host_name const& host, disk_id disk, instant now)
{
    known_control out;
    out.greeting.host = host;
    out.greeting.disk = disk;
    out.received_at = now;
    return out;
}

using known_controls = std::map<host_name, known_control>;

/// Recent greetings of all members, with the disks that founded the group.
known_controls greetings(raft_group const& group)
{
    known_controls out;
    for (std::size_t i = 0; i < group.size(); ++i)
        out[raft_group::name(i)] = present(raft_group::name(i), disk_id(100 + i), group.now());
    return out;
}

/// A control group of five voters and two spare hosts, whose leader follows the planner.
struct spared_group
{
    raft_group group{7, 20261207};
    membership_planner planner;
    std::size_t leader = 0;
    /// Two voters other than the leader, and the spare hosts.
    std::size_t first_voter = 0;
    std::size_t second_voter = 0;
    std::vector<std::size_t> spares;
    /// Greeted before the loss of a host, as members do that run and are reachable.
    instant present_since;
    std::set<std::size_t> returned;

    spared_group()
    {
        group.settle(3000);
        REQUIRE(group.leader());
        leader = *group.leader();
        for (std::size_t i = 0; i < group.size() && spares.size() < 2; ++i)
            if (i != leader)
                spares.push_back(i);
        for (std::size_t const i : spares)
        {
            raft_membership next = membership();
            std::erase_if(next.members, [&](raft_member const& item)
                          { return item.host == raft_group::name(i); });
            propose(next);
        }
        REQUIRE(membership().voters() == 5);
        first_voter = next_voter(leader);
        second_voter = next_voter(first_voter);
        present_since = group.now();
    }

    raft_membership const& membership() { return group.core(leader).membership(); }

    /// Adds a spare host as a member without a vote, and lets it replicate the log.
    void add_learner(std::size_t spare)
    {
        raft_membership next = membership();
        next.members.push_back({raft_group::name(spare), disk_id(100 + spare), false});
        propose(next);
    }

    /// Ends the first voter for good, and takes its vote.
    void lose_first_voter()
    {
        group.crash(first_voter);
        group.settle(2500);
        auto const removed = step();
        REQUIRE(removed);
        REQUIRE(removed->next.voters() == 4);
        propose(removed->next);
    }

    /// Greetings of all hosts that run. Hosts in `returned` began to greet just now.
    known_controls known()
    {
        known_controls out;
        for (std::size_t i = 0; i < group.size(); ++i)
        {
            if (i == leader || !group.alive(i))
                continue;
            known_control& item = out[raft_group::name(i)];
            item = present(raft_group::name(i), disk_id(100 + i), group.now());
            item.present_since = returned.contains(i) ? group.now() : present_since;
        }
        return out;
    }

    std::optional<membership_step> step()
    {
        return planner.next_step(group.core(leader), known(), group.now());
    }

    /// Proposes the planner's steps, one in 200 ms at most; returns their hosts.
    std::vector<host_name> follow_planner(int rounds)
    {
        std::vector<host_name> out;
        for (int round = 0; round < rounds; ++round)
        {
            if (auto const next = step())
            {
                out.push_back(next->host);
                REQUIRE(group.core(leader).propose_membership(next->next));
            }
            group.settle(200);
            REQUIRE(group.leader() == leader);
            REQUIRE(membership().voters() >= 4);
        }
        return out;
    }

    /// Lets the leader receive an answer of a host that lacks the log.
    void refuse_append(std::size_t host)
    {
        raft_message answer;
        answer.kind = raft_message_kind::append_reply;
        answer.from = raft_group::name(host);
        answer.from_disk = disk_id(100 + host);
        answer.to = raft_group::name(leader);
        answer.to_disk = disk_id(100 + leader);
        answer.term = group.core(leader).term();
        group.core(leader).step(group.now(), answer);
    }

    bool is_voter(std::size_t host)
    {
        raft_member const* member = membership().find(raft_group::name(host));
        return member != nullptr && member->voter;
    }

private:
    void propose(raft_membership const& next)
    {
        REQUIRE(group.core(leader).propose_membership(next));
        group.settle(200);
        REQUIRE(group.leader() == leader);
    }
    std::size_t next_voter(std::size_t after)
    {
        do
            after = (after + 1) % group.size();
        while (after == leader || !is_voter(after));
        return after;
    }
};

} // namespace

// After the loss of a host or a disk the group must regain five voters, or the next losses cost the
// quorum. A host with an empty disk must not vote before it has the log, since committed entries
// could be lost; and members that respond must not be replaced.
TEST_CASE("the control group replaces lost disks and unresponsive voters")
{
    membership_planner planner;
    raft_group group(5, 20261204);
    group.settle(3000);
    REQUIRE(group.leader());
    std::size_t const leader = *group.leader();
    std::size_t const other = (leader + 1) % group.size();
    auto const step = [&](std::map<host_name, known_control> const& known)
    { return planner.next_step(group.core(leader), known, group.now()); };

    SECTION("nothing changes while all members respond")
    {
        CHECK_FALSE(step(greetings(group)));
    }
    SECTION("a host with a new disk votes only after it has replicated the log")
    {
        disk_id const new_disk(1000);
        group.crash(other);
        group.start_with_lost_disk(other);
        std::vector<std::string> reasons;
        for (int round = 0; round < 20; ++round)
        {
            auto known = greetings(group);
            known[raft_group::name(other)] =
                present(raft_group::name(other), new_disk, group.now());
            if (auto const next = step(known))
            {
                reasons.push_back(next->reason);
                REQUIRE(group.core(leader).propose_membership(next->next));
            }
            group.settle(200);
            REQUIRE(group.leader() == leader);
        }
        CHECK(reasons == std::vector<std::string>{"has a new disk", "has replicated the log"});
        raft_member const* member = group.core(leader).membership().find(raft_group::name(other));
        REQUIRE(member != nullptr);
        CHECK(member->voter);
        CHECK(member->disk == new_disk);
        CHECK(group.core(leader).membership().voters() == 5);
    }
    SECTION("a further host is not added while five voters respond")
    {
        auto known = greetings(group);
        known[host_name("r9")] = present(host_name("r9"), disk_id(9), group.now());
        CHECK_FALSE(step(known));

        AND_THEN("it replaces a voter that has been unresponsive for long enough")
        {
            group.crash(other);
            group.settle(2500);
            REQUIRE(group.leader() == leader);
            known = greetings(group);
            known.erase(raft_group::name(other));
            known[host_name("r9")] = present(host_name("r9"), disk_id(9), group.now());
            auto const next = step(known);
            REQUIRE(next);
            CHECK(next->host == raft_group::name(other));
            CHECK(next->next.voters() == 4);
            CHECK(next->next.find(raft_group::name(other)) == nullptr);
        }
    }
    SECTION("a further host is not added when its last greeting is too old")
    {
        group.crash(other);
        group.settle(2500);
        auto known = greetings(group);
        known.erase(raft_group::name(other));
        known[host_name("r9")] =
            present(host_name("r9"), disk_id(9), group.now() - std::chrono::seconds(5));
        CHECK_FALSE(step(known));
    }
}

// Guards against review case 6: a member without a vote beside five voters stopped all further
// changes, so that hosts that were gone for good kept their votes until no majority was left.
TEST_CASE("members without a vote never stop the control group from replacing lost voters")
{
    spared_group fleet;
    auto const& [first_spare, second_spare] = std::tie(fleet.spares[0], fleet.spares[1]);

    SECTION("one free place is given to one host, though the other runs as well")
    {
        fleet.group.crash(fleet.first_voter);
        fleet.group.settle(2500);
        // The connection to a new member takes longer to open than the change to commit.
        for (std::size_t const spare : fleet.spares)
            fleet.group.cut(fleet.leader, spare);
        CHECK(fleet.follow_planner(4).size() == 2);
        CHECK(fleet.membership().voters() == 4);
        CHECK(fleet.membership().members.size() == 5);

        AND_WHEN("the new member doesn't answer for a second")
        {
            fleet.follow_planner(4);
            THEN("the other host is added too")
            {
                CHECK(fleet.membership().members.size() == 6);
                fleet.group.heal();
                fleet.follow_planner(10);
                CHECK(fleet.membership().voters() == 5);
                CHECK(fleet.membership().members.size() == 5);
            }
        }
    }
    SECTION("five voters and a member without a vote, one of the voters gone for good")
    {
        fleet.add_learner(first_spare);
        fleet.group.crash(fleet.first_voter);
        fleet.group.settle(2500);
        fleet.follow_planner(20);
        CHECK(fleet.membership().voters() == 5);
        CHECK_FALSE(fleet.is_voter(fleet.first_voter));

        AND_WHEN("a second voter is gone for good as well")
        {
            fleet.group.crash(fleet.second_voter);
            fleet.group.settle(2500);
            fleet.follow_planner(20);
            THEN("five voters that run are left, and nobody else")
            {
                CHECK(fleet.membership().voters() == 5);
                CHECK(fleet.membership().members.size() == 5);
                CHECK_FALSE(fleet.is_voter(fleet.second_voter));
            }
        }
    }
    SECTION("a member without a vote is removed while five voters respond")
    {
        fleet.add_learner(first_spare);
        CHECK(fleet.follow_planner(10) == std::vector<host_name>{raft_group::name(first_spare)});
        CHECK(fleet.membership().members.size() == 5);
        // Nothing it could deliver would be newer than its removal.
        CHECK(fleet.group.core(first_spare).leader() == host_name());
    }
    SECTION("a member without a vote that is gone does not keep its place")
    {
        fleet.lose_first_voter();
        fleet.group.crash(second_spare);
        fleet.add_learner(second_spare);
        fleet.follow_planner(20);
        CHECK(fleet.is_voter(first_spare));
        CHECK(fleet.membership().members.size() == 5);
    }
    SECTION("a member that answers but never has the log holds up others for a limited time only")
    {
        fleet.lose_first_voter();
        fleet.group.crash(second_spare);
        fleet.add_learner(second_spare);
        for (int round = 0; round < 80; ++round)
        {
            fleet.refuse_append(second_spare);
            fleet.follow_planner(1);
        }
        CHECK(fleet.is_voter(first_spare));
        CHECK(fleet.membership().members.size() == 5);
    }
}

// Guards against the start of review case 6: the leader took out a voter that had just restarted,
// since its own link to that host was not open again, while another one was gone for good.
TEST_CASE("a voter that has just returned keeps its vote, and one that is gone is replaced")
{
    spared_group fleet;
    fleet.group.crash(fleet.first_voter);
    fleet.group.settle(1000);
    fleet.group.crash(fleet.second_voter);
    fleet.group.settle(2500);
    REQUIRE(fleet.group.leader() == fleet.leader);
    // Runs and greets; it has not answered the leader yet.
    fleet.group.start(fleet.first_voter);
    fleet.returned.insert(fleet.first_voter);
    auto const next = fleet.step();
    REQUIRE(next);
    CHECK(next->host == raft_group::name(fleet.second_voter));

    AND_WHEN("it greets on without answering")
    {
        fleet.returned.clear();
        auto const later = fleet.step();
        THEN("it is replaced like any other")
        {
            REQUIRE(later);
            CHECK(later->host == raft_group::name(fleet.first_voter));
        }
    }
}
