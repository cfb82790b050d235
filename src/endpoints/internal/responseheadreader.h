#ifndef MONSOONGRADE_SRC_ENDPOINTS_INTERNAL_RESPONSEHEADREADER_H
#define MONSOONGRADE_SRC_ENDPOINTS_INTERNAL_RESPONSEHEADREADER_H

#include <monsoongrade/endpoints/endpointrequest.h>

#include <string>
#include <string_view>

namespace monsoongrade::endpoints::internal {

// Checks the lines outside the body of a response, which libcurl hardly does, and collects the
// headers. Interim responses (1xx) are skipped.
class ResponseHeadReader
{
public:
    // Takes the next line, with its line end: those of interim responses, of the final one, and
    // trailers. Returns false if it is malformed; no other line may follow then.
    bool addLine(std::string_view line);

    // The head of the final response has arrived with its empty line.
    bool isComplete() const { return next_ == Next::Trailer; }
    // The headers of the response that was read last, without trailers. Names are in lower case.
    const Headers &headers() const { return headers_; }
    // Says what is malformed; empty if nothing is.
    const std::string &problem() const { return problem_; }

private:
    enum class Next { StatusLine, Header, Trailer };

    bool addStatusLine(std::string_view line);
    bool addHeader(std::string_view line);
    bool continueHeader(std::string_view line);
    bool fail(std::string problem);

    Next next_ = Next::StatusLine;
    bool isInterim_ = false;
    bool mayContinue_ = false; // the line before is a header or trailer
    Headers headers_;
    std::string problem_;
};

} // namespace monsoongrade::endpoints::internal

#endif // MONSOONGRADE_SRC_ENDPOINTS_INTERNAL_RESPONSEHEADREADER_H
