#include <monsoongrade/load/addressbook.h>

#include <monsoongrade/endpoints/wholeanswer.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::load {

using nlohmann::json;

AddressBook::AddressBook(endpoints::EndpointClient &client, std::vector<std::string> entry)
    : client_(client)
    , entry_(std::move(entry))
    , addresses_(entry_)
{
}

void AddressBook::refresh()
{
    std::vector<std::string> asked = entry_;
    {
        const std::lock_guard lock(mutex_);
        asked.insert(asked.begin(), addresses_.begin(), addresses_.end());
    }
    for (const std::string &address : asked) {
        endpoints::EndpointRequest request;
        request.method = "GET";
        request.url = address + "/v1/entry-points";
        request.silenceTimeout = std::chrono::seconds(1);
        const auto answer = endpoints::callAndWait(client_, request);
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.status != 200 || !body.is_object() || body["entry_points"].empty())
            continue;
        std::vector<std::string> found;
        for (const json &point : body["entry_points"])
            found.push_back(point.value("url", ""));
        const auto keep = std::chrono::duration<double>(body.value("keep_seconds", 1.0));
        const std::lock_guard lock(mutex_);
        addresses_ = found;
        keepUntil_
            = std::chrono::steady_clock::now() + std::chrono::duration_cast<units::Duration>(keep);
        return;
    }
}

bool AddressBook::isStale() const
{
    const std::lock_guard lock(mutex_);
    return std::chrono::steady_clock::now() >= keepUntil_;
}

std::string AddressBook::pick(std::size_t number) const
{
    const std::lock_guard lock(mutex_);
    return addresses_.empty() ? std::string() : addresses_[number % addresses_.size()];
}

} // namespace monsoongrade::load
