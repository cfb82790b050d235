#ifndef MONSOONGRADE_LOAD_ANSWERCHECKER_H
#define MONSOONGRADE_LOAD_ANSWERCHECKER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoongrade::load {

enum class AnswerVerdict { Whole, Mixed, CutShort, ErrorEvent };

// Reads a completions answer, streamed or whole, as it arrives and compares it with what the
// engine stand-in must have answered to this prompt.
class AnswerChecker
{
public:
    AnswerChecker(std::string prompt, std::int64_t tokens, bool streamed);

    void add(std::string_view bytes);
    // After the last byte.
    AnswerVerdict verdict();
    std::int64_t tokens() const { return tokens_; }
    // Of all that was read, so that two answers can be compared.
    std::size_t contentHash() const { return hash_; }
    int errorCode() const { return errorCode_; }
    const std::string &errorReason() const { return errorReason_; }
    const std::string &errorRunState() const { return errorRunState_; }

private:
    void readLine(const std::string &line);
    void readContent(const std::string &content);

    const std::string prompt_;
    const std::int64_t expected_;
    const bool streamed_;
    std::string pending_;
    std::int64_t tokens_ = 0;
    bool mixed_ = false;
    bool closed_ = false;
    std::size_t hash_ = 0;
    int errorCode_ = 0;
    std::string errorReason_;
    std::string errorRunState_;
};

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_ANSWERCHECKER_H
