#ifndef MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINDUTIES_H
#define MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINDUTIES_H

#include <monsoongrade/httpio/server.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoongrade::standins {

// The platform's API that one host at a time calls for all, as documented by the platform: usage
// reports and orders for workers.
class StandInDuties
{
public:
    struct Order
    {
        std::string service;
        std::string zone;
        int desired = 0;
        bool spot = false;
    };

    // Listens on 127.0.0.1; port 0 takes a free one.
    StandInDuties(asio::io_context &io, httpio::Timers &timers, std::uint16_t port);

    const asio::ip::tcp::endpoint &address() const { return server_->address(); }
    // Status of all further responses; 200 by default.
    void setStatus(int status) { status_ = status; }

    // Accepted reports by window.
    const std::map<std::int64_t, nlohmann::json> &reports() const { return reports_; }
    // Accepted orders, the newest last.
    const std::vector<Order> &orders() const { return orders_; }
    // Calls that no holder of the duty lease may make: without a holder or token, with a lower
    // token than before, another holder's token, or a different report of a window.
    const std::vector<std::string> &faults() const { return faults_; }

private:
    void handle(const httpio::ServerRequest &request, httpio::ResponseWriter &reply);
    void checkHolder(const httpio::ServerRequest &request);
    void recordReport(const nlohmann::json &body);

    httpio::ServerLimits limits_;
    int status_ = 200;
    std::map<std::int64_t, nlohmann::json> reports_;
    std::vector<Order> orders_;
    std::vector<std::string> faults_;
    std::uint64_t newestToken_ = 0;
    std::map<std::uint64_t, std::string> holders_;
    std::unique_ptr<httpio::Server> server_;
};

} // namespace monsoongrade::standins

#endif // MONSOONGRADE_TESTS_PLATFORM_STANDIN_STANDINDUTIES_H
