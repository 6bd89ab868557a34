/// \file
/// Defines read_text_file, which reads a whole file.
#pragma once

#include <fstream>
#include <optional>
#include <sstream>
#include <string>

namespace guavashed
{

/// The file's content; nothing when it cannot be opened. Thread safe.
inline std::optional<std::string> read_text_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

} // namespace guavashed
