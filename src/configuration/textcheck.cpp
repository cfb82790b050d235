#include <monsoongrade/configuration/textcheck.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace monsoongrade::configuration {

namespace {

using units::ResultCode;

bool isControl(unsigned char c)
{
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
}

// Bytes that a character takes by its first one; 0 where none begins so.
std::size_t lengthOf(unsigned char first)
{
    if (first < 0x80)
        return 1;
    if (first >= 0xc2 && first < 0xe0)
        return 2;
    if (first >= 0xe0 && first < 0xf0)
        return 3;
    return first >= 0xf0 && first < 0xf5 ? 4 : 0;
}

// The second byte's least and highest value, which keep out overlong forms, surrogates and what
// is beyond Unicode.
bool isSecond(unsigned char first, unsigned char second)
{
    const unsigned char least = first == 0xe0 ? 0xa0 : first == 0xf0 ? 0x90 : 0x80;
    const unsigned char most = first == 0xed ? 0x9f : first == 0xf4 ? 0x8f : 0xbf;
    return second >= least && second <= most;
}

bool isCharacter(std::string_view text)
{
    const auto first = static_cast<unsigned char>(text[0]);
    if (text.size() > 1 && !isSecond(first, static_cast<unsigned char>(text[1])))
        return false;
    return std::all_of(text.begin() + 1, text.end(),
                       [](char c) { return (static_cast<unsigned char>(c) & 0xc0) == 0x80; });
}

int lineAt(const std::string &text, std::size_t at)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(at);
    return 1 + static_cast<int>(std::count(text.begin(), end, '\n'));
}

} // namespace

std::optional<Problem> findUnreadableText(const SourceFile &file)
{
    const std::string &text = file.text;
    for (std::size_t at = 0; at < text.size();) {
        const auto first = static_cast<unsigned char>(text[at]);
        const std::size_t length = lengthOf(first);
        const bool isWhole = length > 0 && at + length <= text.size()
            && isCharacter(std::string_view(text).substr(at, length));
        if (!isWhole || isControl(first))
            return Problem{ResultCode::NotYaml,
                           file.name,
                           lineAt(text, at),
                           {},
                           "a byte here is no UTF-8 text; save the file as UTF-8"};
        at += length;
    }
    return std::nullopt;
}

std::optional<Problem> findCutOffEnd(const SourceFile &file)
{
    if (file.text.empty() || file.text.back() == '\n')
        return std::nullopt;
    return Problem{ResultCode::NotYaml,
                   file.name,
                   lineAt(file.text, file.text.size()),
                   {},
                   "the file ends within a line, as if cut off; end its last line"};
}

} // namespace monsoongrade::configuration
