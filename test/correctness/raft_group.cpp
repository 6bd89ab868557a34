// Decoding for raft_group.
#include "raft_group.hpp"

#include "base/codec.hpp"

namespace guavashed
{

raft_membership raft_group::decode_membership(std::string const& bytes)
{
    return decode<raft_membership>(bytes, "test").value();
}

} // namespace guavashed
