// Digests of keys, and the validation of workspaces.
#include "access/access_config.hpp"

#include <xxhash.h>

namespace guavashed
{

key_digest digest_of(std::string_view key)
{
    XXH128_hash_t const hash = XXH3_128bits(key.data(), key.size());
    return {hash.high64, hash.low64};
}

} // namespace guavashed
