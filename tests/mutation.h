#ifndef MONSOONGRADE_TESTS_MUTATION_H
#define MONSOONGRADE_TESTS_MUTATION_H

#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace monsoongrade::tests {

// A valid text with a few bytes changed, cut out or put in twice: closer to what goes wrong in
// practice than random bytes, which a parser turns away at the first one.
inline std::string mutated(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length
            = *rc::gen::inRange<std::size_t>(0, std::min<std::size_t>(40, text.size()));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text.insert(at, 1, *rc::gen::elementOf(std::string("{}[]:-,\"'&*!|>%@`\n\t #\\")));
            break;
        }
    }
    return text;
}

} // namespace monsoongrade::tests

#endif // MONSOONGRADE_TESTS_MUTATION_H
