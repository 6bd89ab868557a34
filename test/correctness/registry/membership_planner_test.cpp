// Tests the choice of membership changes in the control group.
#include "../raft_group.hpp"
#include "fleet/membership_planner.hpp"

#include <catch2/catch.hpp>

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

/// Recent greetings of all members, with the disks that founded the group.
std::map<host_name, known_control> greetings(raft_group const& group)
{
    std::map<host_name, known_control> out;
    for (std::size_t i = 0; i < group.size(); ++i)
        out[raft_group::name(i)] = present(raft_group::name(i), disk_id(100 + i), group.now());
    return out;
}

} // namespace

// After the loss of a host or a disk the group must regain five voters, or the next losses cost the
// quorum. A host with an empty disk must not vote before it has the log, since committed entries
// could be lost; and members that respond must not be replaced.
TEST_CASE("the control group replaces lost disks and unresponsive voters")
{
    membership_planner const planner;
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
