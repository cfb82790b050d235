#include <monsoongrade/http/httprequest.h>

namespace monsoongrade::http {

std::string HttpRequest::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace monsoongrade::http
