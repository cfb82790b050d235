#include <monsoongrade/ctl/exposition.h>

#include <cstdlib>
#include <optional>
#include <sstream>

namespace monsoongrade::ctl {

namespace {

// Reads key="value" pairs up to the closing brace; returns the place behind it.
std::optional<std::size_t> readLabels(const std::string &line, std::size_t at, Sample &sample)
{
    while (at < line.size() && line[at] != '}') {
        const std::size_t equals = line.find("=\"", at);
        if (equals == std::string::npos)
            return std::nullopt;
        const std::string key = line.substr(at, equals - at);
        std::string value;
        at = equals + 2;
        while (at < line.size() && line[at] != '"') {
            if (line[at] == '\\' && at + 1 < line.size())
                ++at;
            value += line[at++];
        }
        ++at;
        if (at < line.size() && line[at] == ',')
            ++at;
        sample.labels[key] = value;
    }
    return at < line.size() ? std::optional(at + 1) : std::nullopt;
}

std::optional<Sample> readSample(const std::string &line)
{
    const std::size_t nameEnd = line.find_first_of("{ ");
    if (line.empty() || line[0] == '#' || nameEnd == std::string::npos)
        return std::nullopt;
    Sample sample;
    sample.name = line.substr(0, nameEnd);
    std::size_t at = nameEnd;
    if (line[at] == '{') {
        const auto behind = readLabels(line, at + 1, sample);
        if (!behind)
            return std::nullopt;
        at = *behind;
    }
    sample.value = std::strtod(line.c_str() + at, nullptr);
    return sample;
}

} // namespace

std::vector<Sample> readExposition(const std::string &text)
{
    std::vector<Sample> samples;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        if (auto sample = readSample(line))
            samples.push_back(std::move(*sample));
    }
    return samples;
}

} // namespace monsoongrade::ctl
