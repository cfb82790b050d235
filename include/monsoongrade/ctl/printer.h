#ifndef MONSOONGRADE_CTL_PRINTER_H
#define MONSOONGRADE_CTL_PRINTER_H

#include <monsoongrade/ctl/options.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <ostream>
#include <string>

namespace monsoongrade::ctl {

// Writes a value in the chosen format; text is made by the given function.
void print(std::ostream &out, OutputFormat format, const nlohmann::json &value,
           const std::function<std::string(const nlohmann::json &)> &text);

// Block-style YAML of a JSON value; texts are always quoted.
std::string toYaml(const nlohmann::json &value, int indent = 0);

} // namespace monsoongrade::ctl

#endif // MONSOONGRADE_CTL_PRINTER_H
