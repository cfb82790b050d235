#include <monsoongrade/requests/sharedanswer.h>

#include <monsoongrade/requests/refusal.h>

#include <algorithm>

namespace monsoongrade::requests {

namespace {

using units::ResultCode;

// What may wait for one caller that reads slowly.
constexpr std::size_t MaxWaiting = 2 * 1024 * 1024;

} // namespace

SharedAnswer::SharedAnswer(units::RequestId id, std::size_t mostKept)
    : id_(std::move(id))
    , mostKept_(mostKept)
{
}

void SharedAnswer::attach(const std::shared_ptr<http::HttpResponder> &responder,
                          std::optional<RequestAccount> account)
{
    const auto reader = std::make_shared<Reader>(Reader{responder, std::move(account), 0, false});
    {
        const std::lock_guard lock(mutex_);
        readers_.push_back(reader);
        catchUp(reader);
        if (flowEnd_)
            closeAccount(*reader);
        if (flowEnd_)
            readers_.clear();
    }
    // The responder keeps this handler and the reader keeps the responder: held strongly here,
    // the two would keep each other, and the answer, for as long as the caller's connection.
    responder->onGone([weak = weak_from_this(), weakReader = std::weak_ptr<Reader>(reader)] {
        const auto self = weak.lock();
        const auto gone = weakReader.lock();
        if (self && gone)
            self->callerGone(gone);
    });
}

void SharedAnswer::catchUp(const ReaderPointer &reader)
{
    if (forgotten_) {
        const std::string message = "a request with this key has run as " + id_.value()
            + "; its answer is no longer kept";
        sendRefusal(*reader->responder,
                    {id_, {ResultCode::OutcomeUnknown, message}, RunState::Unknown, {}});
        reader->gone = true;
        if (reader->account)
            std::exchange(reader->account, std::nullopt)->fail(ResultCode::OutcomeUnknown, message);
        return;
    }
    if (whole_) {
        reader->responder->answer(status_, headers_, body_);
        return;
    }
    if (!begun_)
        return;
    reader->responder->begin(status_, headers_);
    giveTo(reader, body_);
    if (aborted_)
        reader->responder->abort();
    else if (ended_)
        reader->responder->end();
}

void SharedAnswer::answer(int status, http::Headers headers, std::string body)
{
    const std::lock_guard lock(mutex_);
    whole_ = true;
    status_ = status;
    headers_ = std::move(headers);
    body_ = std::move(body);
    for (const ReaderPointer &reader : readers_)
        reader->responder->answer(status_, headers_, body_);
    if (body_.size() > mostKept_)
        forgotten_ = true;
    if (forgotten_)
        body_.clear();
}

void SharedAnswer::begin(int status, http::Headers headers)
{
    const std::lock_guard lock(mutex_);
    begun_ = true;
    status_ = status;
    headers_ = std::move(headers);
    for (const ReaderPointer &reader : readers_)
        reader->responder->begin(status_, headers_);
}

void SharedAnswer::write(std::string bytes, std::function<void(std::size_t)>)
{
    const std::lock_guard lock(mutex_);
    for (const ReaderPointer &reader : readers_)
        giveTo(reader, bytes);
    if (body_.size() + bytes.size() > mostKept_)
        forgotten_ = true;
    if (forgotten_)
        body_.clear();
    else
        body_ += bytes;
}

void SharedAnswer::giveTo(const ReaderPointer &reader, const std::string &bytes)
{
    if (reader->gone || bytes.empty())
        return;
    if (reader->waiting + bytes.size() > MaxWaiting) {
        reader->gone = true;
        reader->responder->abort();
        return;
    }
    reader->waiting += bytes.size();
    reader->responder->write(
        bytes, [weak = weak_from_this(), weakReader = std::weak_ptr<Reader>(reader)](auto count) {
            const auto self = weak.lock();
            const auto relieved = weakReader.lock();
            if (self && relieved)
                self->left(*relieved, count);
        });
}

void SharedAnswer::left(Reader &reader, std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    reader.waiting -= std::min(bytes, reader.waiting);
}

void SharedAnswer::end()
{
    const std::lock_guard lock(mutex_);
    ended_ = true;
    for (const ReaderPointer &reader : readers_) {
        if (!reader->gone)
            reader->responder->end();
    }
}

void SharedAnswer::abort()
{
    const std::lock_guard lock(mutex_);
    aborted_ = true;
    for (const ReaderPointer &reader : readers_) {
        if (!reader->gone)
            reader->responder->abort();
    }
}

void SharedAnswer::onGone(std::function<void()>) { }

void SharedAnswer::settle(const FlowEnd &flowEnd)
{
    const std::lock_guard lock(mutex_);
    flowEnd_ = flowEnd;
    for (const ReaderPointer &reader : readers_)
        closeAccount(*reader);
    readers_.clear();
}

void SharedAnswer::closeAccount(Reader &reader) const
{
    if (!reader.account)
        return;
    RequestAccount account = *std::exchange(reader.account, std::nullopt);
    const std::string detail = "answered by " + id_.value();
    if (reader.gone)
        account.fail(ResultCode::CallerLeft, detail);
    else if (flowEnd_->code == ResultCode::Ok)
        account.complete(detail);
    else if (flowEnd_->runState == RunState::NotRun)
        account.refuse(flowEnd_->code, detail);
    else
        account.fail(flowEnd_->code, detail);
}

void SharedAnswer::callerGone(const ReaderPointer &reader)
{
    const std::lock_guard lock(mutex_);
    reader->gone = true;
    readers_.erase(std::remove(readers_.begin(), readers_.end(), reader), readers_.end());
    if (reader->account)
        std::exchange(reader->account, std::nullopt)
            ->fail(ResultCode::CallerLeft, "the caller closed its connection");
}

void SharedAnswer::forget()
{
    const std::lock_guard lock(mutex_);
    forgotten_ = true;
    body_ = std::string();
}

std::size_t SharedAnswer::keptBytes() const
{
    const std::lock_guard lock(mutex_);
    return body_.size();
}

} // namespace monsoongrade::requests
