#include <monsoongrade/requests/answerrelay.h>

#include <algorithm>

namespace monsoongrade::requests {

namespace {

// A slow reader's answer waits in this much memory; above it the endpoint is not read, and the
// reading goes on when half has left.
constexpr std::size_t MaxBytesWaiting = 256 * 1024;

} // namespace

AnswerRelay::AnswerRelay(http::HttpResponder &responder, bool isShared)
    : responder_(responder)
    , isShared_(isShared)
{
}

void AnswerRelay::begin(int status, http::Headers headers, bool isEventStream)
{
    begun_ = true;
    passesEvents_ = isEventStream;
    responder_.begin(status, std::move(headers));
}

void AnswerRelay::take(std::string_view bytes)
{
    write(passesEvents_ ? events_.feed(bytes) : std::string(bytes));
}

void AnswerRelay::takePartialEvent()
{
    write(events_.takePartialEvent());
}

void AnswerRelay::write(std::string bytes)
{
    if (bytes.empty())
        return;
    scanner_.scan(bytes);
    if (callerGone_)
        return;
    if (!isShared_)
        bytesWaiting_ += bytes.size();
    responder_.write(std::move(bytes), left_);
}

bool AnswerRelay::isFull() const
{
    return bytesWaiting_ > MaxBytesWaiting;
}

bool AnswerRelay::makeRoom(std::size_t bytes)
{
    bytesWaiting_ -= std::min(bytes, bytesWaiting_);
    return bytesWaiting_ <= MaxBytesWaiting / 2;
}

void AnswerRelay::breakOff(const Refusal &refusal)
{
    if (passesEvents_ && events_.isAtEventBoundary()) {
        responder_.write(refusalEvent(refusal), {});
        responder_.end();
    } else {
        // Only a broken connection tells this caller that the answer is not whole.
        responder_.abort();
    }
}

} // namespace monsoongrade::requests
