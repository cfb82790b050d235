#include <monsoongrade/ctl/printer.h>

namespace monsoongrade::ctl {

using nlohmann::json;

namespace {

bool isNested(const json &value)
{
    return value.is_structured() && !value.empty();
}

std::string scalar(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string toYaml(const json &value, int indent)
{
    if (!isNested(value))
        return scalar(value) + "\n";
    const std::string margin(static_cast<std::size_t>(indent), ' ');
    std::string out;
    for (const auto &[key, item] : value.items()) {
        const std::string start = value.is_object() ? json(key).dump() + ":" : "-";
        out += margin + start + (isNested(item) ? "\n" : " ") + toYaml(item, indent + 2);
    }
    return out;
}

void print(std::ostream &out, OutputFormat format, const json &value,
           const std::function<std::string(const json &)> &text)
{
    switch (format) {
    case OutputFormat::Text:
        out << text(value);
        break;
    case OutputFormat::Json:
        out << value.dump(1, ' ', false, json::error_handler_t::replace) << "\n";
        break;
    case OutputFormat::Yaml:
        out << toYaml(value);
        break;
    }
}

} // namespace monsoongrade::ctl
