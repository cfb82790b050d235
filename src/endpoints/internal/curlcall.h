#ifndef MONSOONGRADE_SRC_ENDPOINTS_INTERNAL_CURLCALL_H
#define MONSOONGRADE_SRC_ENDPOINTS_INTERNAL_CURLCALL_H

#include <endpoints/internal/responseheadreader.h>

#include <monsoongrade/endpoints/endpointclient.h>

#include <curl/curl.h>

namespace monsoongrade::endpoints::internal {

// One libcurl transfer and the listener that it feeds.
class CurlCall
{
public:
    CurlCall(CallId id, EndpointRequest request, std::shared_ptr<EndpointListener> listener);
    ~CurlCall();
    CurlCall(const CurlCall &) = delete;
    CurlCall &operator=(const CurlCall &) = delete;

    CURL *handle() const { return handle_; }
    CallId id() const { return id_; }
    // Tells the listener how the transfer ended.
    void finish(CURLcode result);

    // True where the endpoint has sent nothing for the request's silence timeout, though it was
    // read from. libcurl's own limit compares an average over several seconds and so notices a
    // silence within an answer only long after.
    bool isSilent(units::TimePoint now) const;
    void finishSilent();
    // Reading goes on after a pause; the pause was ours and is not counted as silence.
    void resumed();

private:
    static int onConnected(void *call, char *, char *, int, int);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *call);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *call);
    void giveHead();
    bool isWhole(CURLcode result) const;
    EndpointEnd endFor(CURLcode result) const;

    CallId id_;
    EndpointRequest request_;
    std::shared_ptr<EndpointListener> listener_;
    CURL *handle_;
    curl_slist *headerList_ = nullptr;
    ResponseHeadReader head_;
    bool headGiven_ = false;
    bool mayHaveSent_ = false;
    bool sendingDenied_ = false;
    bool paused_ = false;
    units::TimePoint lastActivity_;
};

} // namespace monsoongrade::endpoints::internal

#endif // MONSOONGRADE_SRC_ENDPOINTS_INTERNAL_CURLCALL_H
