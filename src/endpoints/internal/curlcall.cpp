#include <endpoints/internal/curlcall.h>

namespace monsoongrade::endpoints::internal {

namespace {

// Returned by a callback, this ends the transfer with an error.
constexpr std::size_t Rejected = 0;

long milliseconds(units::Duration duration)
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

CurlCall::CurlCall(CallId id, EndpointRequest request, std::shared_ptr<EndpointListener> listener)
    : id_(id)
    , request_(std::move(request))
    , listener_(std::move(listener))
    , handle_(curl_easy_init())
    , lastActivity_(std::chrono::steady_clock::now())
{
    curl_easy_setopt(handle_, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(handle_, CURLOPT_PROXY, "");
    curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(request_.connectTimeout));
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT") {
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request_.body.size()));
        curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body.data());
    }
    if (request_.freshConnection) {
        curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, 1L);
    }
    // Without this a large body waits for "100 Continue", which engines don't send.
    headerList_ = curl_slist_append(headerList_, "Expect:");
    for (const auto &[name, value] : request_.headers)
        headerList_ = curl_slist_append(headerList_, (name + ": " + value).c_str());
    curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, headerList_);
    curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &CurlCall::onHeader);
    curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &CurlCall::onBody);
    curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &CurlCall::onConnected);
    curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
}

CurlCall::~CurlCall()
{
    curl_easy_cleanup(handle_);
    curl_slist_free_all(headerList_);
}

void CurlCall::finish(CURLcode result)
{
    if (isWhole(result))
        giveHead();
    listener_->answerEnd(endFor(result));
}

bool CurlCall::isSilent(units::TimePoint now) const
{
    return !paused_ && now - lastActivity_ > request_.silenceTimeout;
}

void CurlCall::finishSilent()
{
    finish(CURLE_OPERATION_TIMEDOUT);
}

void CurlCall::resumed()
{
    paused_ = false;
    lastActivity_ = std::chrono::steady_clock::now();
}

// libcurl calls this when a connection stands and before the first byte of a request leaves, so a
// call for which it never ran sent nothing. Its byte count (CURLINFO_REQUEST_SIZE) isn't specified
// as such a proof; were it 0 after bytes had left, the caller would be told "not run" of a request
// that ran. A second run of this function is the library's own repeat of the call, which one that
// must not be repeated ends with an error.
int CurlCall::onConnected(void *call, char *, char *, int, int)
{
    auto *self = static_cast<CurlCall *>(call);
    self->sendingDenied_ = self->request_.maySend && !self->request_.maySend();
    if (self->sendingDenied_)
        return CURL_PREREQFUNC_ABORT;
    const bool isRepeat = self->mayHaveSent_;
    self->mayHaveSent_ = true;
    return isRepeat && self->request_.freshConnection ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t CurlCall::onHeader(char *data, std::size_t size, std::size_t count, void *call)
{
    auto *self = static_cast<CurlCall *>(call);
    self->lastActivity_ = std::chrono::steady_clock::now();
    return self->head_.addLine({data, size * count}) ? size * count : Rejected;
}

std::size_t CurlCall::onBody(char *data, std::size_t size, std::size_t count, void *call)
{
    auto *self = static_cast<CurlCall *>(call);
    self->lastActivity_ = std::chrono::steady_clock::now();
    self->giveHead();
    if (self->listener_->answerBody({data, size * count}) == FlowControl::Pause) {
        self->paused_ = true;
        curl_easy_pause(self->handle_, CURLPAUSE_RECV);
    }
    return size * count;
}

void CurlCall::giveHead()
{
    if (headGiven_)
        return;
    headGiven_ = true;
    long status = 0;
    curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
    listener_->answerHead(static_cast<int>(status), head_.headers());
}

// libcurl takes a close within the head for the end of a response without a body.
bool CurlCall::isWhole(CURLcode result) const
{
    return result == CURLE_OK && head_.isComplete();
}

EndpointEnd CurlCall::endFor(CURLcode result) const
{
    EndpointEnd end;
    if (isWhole(result))
        return end;
    end.requestSent = mayHaveSent_;
    if (!head_.problem().empty())
        end.message = head_.problem();
    else if (result == CURLE_OK)
        end.message = "the connection was closed within the head of the answer";
    else
        end.message = curl_easy_strerror(result);
    if (!end.requestSent)
        end.code = sendingDenied_ ? units::ResultCode::WaitedTooLong
                                  : units::ResultCode::EndpointUnreachable;
    else if (result == CURLE_OPERATION_TIMEDOUT)
        end.code = units::ResultCode::EndpointSilent;
    else if (headGiven_)
        end.code = units::ResultCode::EndpointBrokeInAnswer;
    else
        end.code = units::ResultCode::EndpointBrokeBeforeAnswer;
    return end;
}

} // namespace monsoongrade::endpoints::internal
