#include "log.hpp"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace guavashed
{
namespace
{

std::string process_label = "guavashed";

} // namespace

void start_log(std::string const& process_name)
{
    process_label = process_name;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::reconfigureLogger("default", configuration);
}

void log_change(log_level level, std::string_view event, std::string const& fields)
{
    switch (level)
    {
    case log_level::info:
        LOG(INFO) << "process=" << process_label << " event=" << event << " " << fields;
        break;
    case log_level::warning:
        LOG(WARNING) << "process=" << process_label << " event=" << event << " " << fields;
        break;
    case log_level::error:
        LOG(ERROR) << "process=" << process_label << " event=" << event << " " << fields;
        break;
    }
}

} // namespace guavashed
