#ifndef MONSOONGRADE_TESTS_REQUESTS_RECORDINGRESPONDER_H
#define MONSOONGRADE_TESTS_REQUESTS_RECORDINGRESPONDER_H

#include <monsoongrade/http/httpresponder.h>

#include <deque>
#include <string>

namespace monsoongrade::requests {

// Plays a caller: keeps what it was given. Handlers run only when the test says so.
class RecordingResponder : public http::HttpResponder
{
public:
    void answer(int status, http::Headers headers, std::string body) override
    {
        this->status = status;
        this->headers = std::move(headers);
        this->body = std::move(body);
        ++ends;
    }
    void begin(int status, http::Headers headers) override
    {
        this->status = status;
        this->headers = std::move(headers);
        begun = true;
    }
    void write(std::string bytes, std::function<void(std::size_t)> written) override
    {
        body += bytes;
        waiting += bytes.size();
        written_.emplace_back(bytes.size(), std::move(written));
    }
    void end() override { ++ends; }
    void abort() override
    {
        ++ends;
        aborted = true;
    }
    void onGone(std::function<void()> handler) override { gone_ = std::move(handler); }

    // The caller reads all that was written.
    void readAll()
    {
        while (!written_.empty()) {
            const auto [size, written] = std::move(written_.front());
            written_.pop_front();
            waiting -= size;
            if (written)
                written(size);
        }
    }
    void leave()
    {
        if (gone_)
            std::exchange(gone_, nullptr)();
    }
    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }

    int status = 0;
    http::Headers headers;
    std::string body;
    std::size_t waiting = 0;
    int ends = 0;
    bool begun = false;
    bool aborted = false;

private:
    std::deque<std::pair<std::size_t, std::function<void(std::size_t)>>> written_;
    std::function<void()> gone_;
};

} // namespace monsoongrade::requests

#endif // MONSOONGRADE_TESTS_REQUESTS_RECORDINGRESPONDER_H
