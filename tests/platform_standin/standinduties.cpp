#include "standinduties.h"

#include <algorithm>
#include <cstdlib>

namespace monsoongrade::standins {

using nlohmann::json;

StandInDuties::StandInDuties(asio::io_context &io, httpio::Timers &timers, std::uint16_t port)
    : server_(std::make_unique<httpio::Server>(
        io, timers, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port), limits_,
        [this](const httpio::ServerRequest &request,
               const std::shared_ptr<httpio::ResponseWriter> &reply) { handle(request, *reply); }))
{
}

void StandInDuties::handle(const httpio::ServerRequest &request, httpio::ResponseWriter &reply)
{
    checkHolder(request);
    const json body = json::parse(*request.body, nullptr, false);
    if (status_ != 200) {
        reply.respond(status_, {}, "");
        return;
    }
    if (request.head.target == "/usage" && body.is_object()) {
        recordReport(body);
    } else if (request.head.target == "/scale" && body.is_object()) {
        orders_.push_back({body.value("service", ""), body.value("zone", ""),
                           body.value("desired", 0), body.value("spot", false)});
    } else {
        reply.respond(404, {}, "");
        return;
    }
    reply.respond(200, {}, "");
}

void StandInDuties::checkHolder(const httpio::ServerRequest &request)
{
    const std::string *holder = httpio::findHeader(request.head.headers, "Duty-Holder");
    const std::string *text = httpio::findHeader(request.head.headers, "Fencing-Token");
    if (holder == nullptr || text == nullptr) {
        faults_.emplace_back("a call without holder or token");
        return;
    }
    const std::uint64_t token = std::strtoull(text->c_str(), nullptr, 10);
    if (token < newestToken_)
        faults_.emplace_back("a lower token after a higher one");
    newestToken_ = std::max(newestToken_, token);
    if (holders_.emplace(token, *holder).first->second != *holder)
        faults_.emplace_back("two holders under one token");
}

void StandInDuties::recordReport(const json &body)
{
    const auto known
        = reports_.emplace(body.value("window", std::int64_t(0)), body.value("counts", json()));
    if (known.first->second != body.value("counts", json()))
        faults_.emplace_back("two reports of one window differ");
}

} // namespace monsoongrade::standins
