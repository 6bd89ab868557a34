/// \file
/// Defines arguments, a reader of `--name=value` flags for the stand-ins and test programs.
#pragma once

#include <string>
#include <vector>

namespace standin
{

/// Later flags of the same name are ignored. Thread safety: const methods are thread safe.
class arguments
{
public:
    arguments(int argc, char** argv) : arguments_(argv + 1, argv + argc) {}

    std::string text(std::string const& name, std::string const& fallback = {}) const
    {
        std::string const prefix = "--" + name + "=";
        for (auto const& item : arguments_)
            if (item.starts_with(prefix))
                return item.substr(prefix.size());
        return fallback;
    }
    /// Throws std::invalid_argument or std::out_of_range when the value isn't a number.
    double number(std::string const& name, double fallback) const
    {
        std::string const value = text(name);
        return value.empty() ? fallback : std::stod(value);
    }
    /// Splits a comma-separated value; empty when the flag is missing.
    std::vector<std::string> list(std::string const& name) const
    {
        std::vector<std::string> out;
        std::string rest = text(name);
        while (!rest.empty())
        {
            auto const comma = rest.find(',');
            out.push_back(rest.substr(0, comma));
            rest = comma == std::string::npos ? std::string() : rest.substr(comma + 1);
        }
        return out;
    }

private:
    std::vector<std::string> arguments_;
};

} // namespace standin
