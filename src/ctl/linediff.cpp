#include <monsoongrade/ctl/linediff.h>

#include <algorithm>
#include <sstream>

namespace monsoongrade::ctl {

namespace {

using Lines = std::vector<std::string>;

// Above this many pairs of lines the table would grow too large; all lines then count as changed.
constexpr std::size_t MaxPairs = 4000000;

Lines split(const std::string &text)
{
    Lines lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

// Length of the longest common subsequence of each pair of tails.
std::vector<std::vector<int>> commonTails(const Lines &a, const Lines &b)
{
    std::vector<std::vector<int>> common(a.size() + 1, std::vector<int>(b.size() + 1, 0));
    if (a.size() * b.size() > MaxPairs)
        return common;
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;)
            common[i][j] = a[i] == b[j] ? common[i + 1][j + 1] + 1
                                        : std::max(common[i + 1][j], common[i][j + 1]);
    }
    return common;
}

} // namespace

std::vector<std::string> lineDiff(const std::string &before, const std::string &after)
{
    const Lines a = split(before);
    const Lines b = split(after);
    const auto common = commonTails(a, b);
    Lines out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        const bool bothLeft = i < a.size() && j < b.size();
        if (bothLeft && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (i < a.size() && (j == b.size() || common[i + 1][j] >= common[i][j + 1])) {
            out.push_back("-" + a[i++]);
        } else {
            out.push_back("+" + b[j++]);
        }
    }
    return out;
}

} // namespace monsoongrade::ctl
