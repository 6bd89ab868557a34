/// \file
/// Defines founding_vote, by which the seeds agree on the first members of the control group.
#pragma once

#include "base/ids.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavashed
{

/// Identifies an attempt to found the group; a higher ballot supersedes a lower one.
struct founding_ballot
{
    std::uint64_t round = 0;
    host_name proposer;

    auto operator<=>(founding_ballot const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(round, proposer);
    }
};

/// A seed's part in the vote. Synced to its disk before it is sent.
struct founding_state
{
    /// No lower ballot is accepted any more.
    founding_ballot promised;
    /// The ballot in which `snapshot`, the encoded founding snapshot, was accepted.
    founding_ballot accepted;
    std::string snapshot;

    bool operator==(founding_state const&) const = default;
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(promised, accepted, snapshot);
    }
};

/// Tells the other seeds of a seed's state.
struct founding_message
{
    static constexpr std::uint16_t wire_version = 1;

    host_name host;
    founding_state state;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, state);
    }
};

/// A seed's state on its disk, with the seeds that vote: later settings may name other ones.
struct founding_record
{
    static constexpr std::uint16_t wire_version = 1;

    std::vector<host_name> seeds;
    founding_state state;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(seeds, state);
    }
};

/// Lets a majority of the seeds choose one founding snapshot, so that no second group can be
/// founded while seeds are down, cut off or restarted. It is single-decree Paxos, whose messages
/// are the states of the seeds: each seed sends its own, at each change and repeatedly. Thread
/// safety: none.
class founding_vote
{
public:
    /// Preconditions: `seeds` contains `self`, and `restored` is what this seed last sent.
    founding_vote(host_name self, std::vector<host_name> seeds, founding_state restored);

    /// Begins an attempt with a higher ballot than all known ones. `snapshot` is proposed unless an
    /// earlier attempt may have succeeded with another. Changes `state`.
    void propose(std::string snapshot);
    /// Takes in the state of another seed. Returns whether `state` has changed.
    bool observe(host_name const& seed, founding_state const& state);

    founding_state const& state() const { return states_.at(self_); }
    std::vector<host_name> const& seeds() const { return seeds_; }
    std::size_t majority() const { return seeds_.size() / 2 + 1; }
    /// The snapshot that a majority of the seeds has accepted, once that is known. It never
    /// changes.
    std::optional<std::string> chosen() const;

private:
    /// Accepts a snapshot in this seed's own ballot once a majority has promised it.
    void accept_own();

    host_name self_;
    std::vector<host_name> seeds_;
    /// The newest known state of each seed that has sent one, and of this one.
    std::map<host_name, founding_state> states_;
    /// What this seed proposes in its own ballot; empty without an attempt.
    std::string proposal_;
};

} // namespace guavashed
