// Tests the vote of the seeds on the founding of the control group: at most one group is founded,
// whatever is lost, late or restarted, and one is founded although a minority of seeds is gone.
#include "fleet/founding_vote.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck/catch.h>
#include <set>

namespace guavashed
{
namespace
{

/// Seeds whose messages are delivered one by one, as a test says.
class seed_group
{
public:
    explicit seed_group(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            names_.emplace_back("seed-" + std::to_string(i));
        for (auto const& name : names_)
            votes_.emplace_back(name, names_, founding_state());
        down_.resize(count);
        mail_.resize(count);
    }

    std::size_t size() const { return votes_.size(); }
    bool is_down(std::size_t i) const { return down_[i]; }
    founding_vote& vote(std::size_t i) { return votes_[i]; }

    /// It proposes a snapshot that no other attempt proposes.
    void propose(std::size_t i)
    {
        if (down_[i])
            return;
        votes_[i].propose("snapshot " + std::to_string(++proposals_));
        send(i);
    }
    /// Sends its state to all seeds.
    void send(std::size_t i)
    {
        if (down_[i])
            return;
        for (std::size_t to = 0; to < size(); ++to)
            if (to != i)
                mail_[to].push_back({names_[i], votes_[i].state()});
        note_chosen(i);
    }
    /// Delivers one of the messages to a seed, in any order.
    void deliver(std::size_t to, std::size_t which, bool keep_copy = false)
    {
        if (mail_[to].empty())
            return;
        auto const at = mail_[to].begin() + static_cast<std::ptrdiff_t>(which % mail_[to].size());
        founding_message const message = *at;
        if (!keep_copy)
            mail_[to].erase(at);
        if (down_[to])
            return;
        if (votes_[to].observe(message.host, message.state))
            send(to);
        note_chosen(to);
    }
    /// It loses what it doesn't have on its disk: all but its state.
    void restart(std::size_t i)
    {
        votes_[i] = founding_vote(names_[i], names_, votes_[i].state());
        down_[i] = false;
    }
    void stop(std::size_t i) { down_[i] = true; }
    /// Delivers all messages in their order until there are none.
    void settle()
    {
        bool delivered = true;
        while (delivered)
        {
            delivered = false;
            for (std::size_t i = 0; i < size(); ++i)
                for (; !mail_[i].empty(); delivered = true)
                    deliver(i, 0);
        }
    }
    std::set<std::string> const& chosen() const { return chosen_; }

private:
    void note_chosen(std::size_t i)
    {
        if (auto const snapshot = votes_[i].chosen())
            chosen_.insert(*snapshot);
    }

    std::vector<host_name> names_;
    std::vector<founding_vote> votes_;
    std::vector<bool> down_;
    std::vector<std::vector<founding_message>> mail_;
    std::set<std::string> chosen_;
    std::size_t proposals_ = 0;
};

} // namespace

TEST_CASE("a majority of the seeds founds the group")
{
    seed_group seeds(3);
    SECTION("all seeds are there")
    {
        seeds.propose(0);
        seeds.settle();
        CHECK(seeds.chosen() == std::set<std::string>{"snapshot 1"});
        for (std::size_t i = 0; i < 3; ++i)
            CHECK(seeds.vote(i).chosen() == "snapshot 1");
    }
    SECTION("one seed is lost, whichever it is")
    {
        std::size_t const lost = GENERATE(0u, 1u, 2u);
        seeds.stop(lost);
        seeds.propose((lost + 1) % 3);
        seeds.settle();
        CHECK(seeds.chosen() == std::set<std::string>{"snapshot 1"});
    }
    SECTION("a single seed of three founds nothing")
    {
        seeds.stop(1);
        seeds.stop(2);
        for (int i = 0; i < 5; ++i)
            seeds.propose(0);
        seeds.settle();
        CHECK(seeds.chosen().empty());
    }
    SECTION("a deployment with one seed founds at once")
    {
        seed_group alone(1);
        alone.propose(0);
        CHECK(alone.chosen().size() == 1);
    }
}

// The seed that proposed may have founded the group with the others' votes before it was lost.
TEST_CASE("what may have been chosen is not replaced by a later attempt")
{
    seed_group seeds(3);
    seeds.propose(0);
    // The promise of seed 1 arrives, which is a majority; then its acceptance is lost.
    seeds.deliver(1, 0);
    seeds.deliver(0, 0);
    REQUIRE(seeds.vote(0).state().snapshot == "snapshot 1");
    SECTION("a seed that accepted it proposes it again")
    {
        seeds.deliver(1, 0);
        REQUIRE(seeds.vote(1).state().snapshot == "snapshot 1");
        seeds.stop(0);
        seeds.propose(2);
        seeds.settle();
        // Its own ballot may have been lower than the first one's.
        seeds.propose(2);
        seeds.settle();
        CHECK(seeds.vote(2).chosen() == "snapshot 1");
    }
    SECTION("a restarted proposer begins a new ballot")
    {
        founding_ballot const before = seeds.vote(0).state().accepted;
        seeds.restart(0);
        seeds.propose(0);
        CHECK(seeds.vote(0).state().promised > before);
        seeds.settle();
        CHECK(seeds.chosen() == std::set<std::string>{"snapshot 1"});
    }
}

// Guards against two groups, which would both acknowledge orders: in any order of late, repeated
// and lost messages, attempts and restarts, all seeds that know the outcome know the same one.
TEST_CASE("at most one founding snapshot is chosen")
{
    rc::prop("in any order of events",
             []
             {
                 seed_group seeds(*rc::gen::element<std::size_t>(3, 4, 5));
                 auto const events = *rc::gen::container<std::vector<std::uint32_t>>(
                     400, rc::gen::arbitrary<std::uint32_t>());
                 for (std::uint32_t const event : events)
                 {
                     std::size_t const seed = event / 16 % seeds.size();
                     std::size_t const which = event / 256;
                     switch (event % 16)
                     {
                     case 0:
                         seeds.propose(seed);
                         break;
                     case 1:
                         seeds.restart(seed);
                         break;
                     case 2:
                         if (which % 8 == 0)
                             seeds.stop(seed);
                         break;
                     case 3:
                         seeds.send(seed);
                         break;
                     case 4:
                         seeds.deliver(seed, which, true);
                         break;
                     default:
                         seeds.deliver(seed, which);
                         break;
                     }
                     RC_ASSERT(seeds.chosen().size() <= 1u);
                 }
                 RC_CLASSIFY(seeds.chosen().empty(), "undecided before the end");
                 // A majority that stays up and is left alone decides.
                 for (std::size_t i = 0; i < seeds.size(); ++i)
                     seeds.restart(i);
                 seeds.settle();
                 for (std::size_t i = 0; i < (seeds.size() - 1) / 2; ++i)
                     seeds.stop(i);
                 for (int attempt = 0; attempt < 2; ++attempt)
                 {
                     for (std::size_t i = 0; i < seeds.size(); ++i)
                         seeds.send(i);
                     seeds.settle();
                     seeds.propose(seeds.size() - 1);
                     seeds.settle();
                 }
                 RC_ASSERT(seeds.vote(seeds.size() - 1).chosen().has_value());
                 RC_ASSERT(seeds.chosen().size() == 1u);
             });
}

} // namespace guavashed
