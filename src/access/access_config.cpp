// Digests of keys, and the validation of workspaces.
#include "access/access_config.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <xxhash.h>

namespace guavashed
{
namespace
{

/// A key by its place: errors must not show the key itself, which is a secret.
struct key_place
{
    workspace_name workspace;
    std::size_t position = 0;
};

error invalid(workspace_config const& workspace, std::string detail)
{
    return fail(error_code::invalid_document, "validate configuration",
                "workspace " + workspace.name.value(), std::move(detail));
}

/// The name is sent in a header field, so that it must not contain a line break, nor spaces at its
/// ends, which are not part of a field's value.
bool is_field_value(std::string const& text)
{
    bool const has_control = std::any_of(text.begin(), text.end(),
                                         [](char item)
                                         {
                                             auto const code = static_cast<unsigned char>(item);
                                             return code < 0x20 || code == 0x7f;
                                         });
    return !has_control && !text.empty() && text.front() != ' ' && text.back() != ' ';
}

result<void> validate_limit(workspace_config const& workspace, char const* field, double value)
{
    if (std::isfinite(value) && value >= 0)
        return boost::outcome_v2::success();
    return invalid(workspace, std::string(field) + ": must be a number of at least 0, got " +
                                  std::to_string(value));
}

/// Adds the keys to those of the workspaces before it.
result<void> validate_keys(workspace_config const& workspace,
                           std::map<key_digest, key_place>& known)
{
    key_digest const empty = digest_of("");
    for (std::size_t at = 0; at < workspace.keys.size(); ++at)
    {
        std::string const position = "keys: the key at position " + std::to_string(at);
        if (workspace.keys[at] == empty)
            return invalid(workspace, position + " is empty");
        auto const [other, first] =
            known.emplace(workspace.keys[at], key_place{workspace.name, at});
        if (first)
            continue;
        if (other->second.workspace == workspace.name)
            return invalid(workspace, position + " is listed at position " +
                                          std::to_string(other->second.position) + " as well");
        return invalid(workspace, position + " is a key of workspace " +
                                      other->second.workspace.value() + " as well");
    }
    return boost::outcome_v2::success();
}

} // namespace

key_digest digest_of(std::string_view key)
{
    XXH128_hash_t const hash = XXH3_128bits(key.data(), key.size());
    return {hash.high64, hash.low64};
}

result<void> validate(access_config const& access)
{
    std::set<workspace_name> names;
    std::map<key_digest, key_place> keys;
    for (auto const& workspace : access.workspaces)
    {
        if (!is_field_value(workspace.name.value()))
            return invalid(workspace, "name: must not be empty, contain control characters, or "
                                      "begin or end with a space");
        if (!names.insert(workspace.name).second)
            return invalid(workspace, "name: another workspace has it");
        BOOST_OUTCOME_TRY(validate_limit(workspace, "rate", workspace.rate_per_s));
        BOOST_OUTCOME_TRY(validate_limit(workspace, "burst", workspace.burst));
        BOOST_OUTCOME_TRY(validate_keys(workspace, keys));
    }
    return boost::outcome_v2::success();
}

} // namespace guavashed
