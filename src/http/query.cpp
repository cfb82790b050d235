#include <monsoongrade/http/query.h>

#include <cstdlib>
#include <sstream>

namespace monsoongrade::http {

namespace {

std::string decoded(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace

std::string queryValue(const std::string &query, const std::string &key)
{
    std::istringstream in(query);
    std::string pair;
    while (std::getline(in, pair, '&')) {
        if (pair.compare(0, key.size() + 1, key + "=") == 0)
            return decoded(pair.substr(key.size() + 1));
    }
    return {};
}

std::uint64_t queryNumber(const std::string &query, const std::string &key)
{
    return std::strtoull(queryValue(query, key).c_str(), nullptr, 10);
}

} // namespace monsoongrade::http
