#ifndef MONSOONGRADE_UNITS_STABLEHASH_H
#define MONSOONGRADE_UNITS_STABLEHASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace monsoongrade::units {

// FNV-1a over 64 bits: the same on every host and in every version, which std::hash isn't. Daemons
// that hashed differently would each find another scheduler, or take one text for two. Against
// accidents, not attackers. The last bytes reach the high bits weakly.
class StableHash
{
public:
    StableHash() = default;
    // One that differs from the standard one for the same input.
    explicit StableHash(std::uint64_t base)
        : hash_(base)
    {
    }

    void add(std::uint64_t number) { hash_ = (hash_ ^ number) * Prime; }
    void add(std::string_view text)
    {
        for (const char c : text)
            add(std::uint64_t(static_cast<unsigned char>(c)));
    }
    std::uint64_t value() const { return hash_; }
    // The value with its bits spread, for rendezvous hashing, which compares high bits.
    std::uint64_t spread() const { return (hash_ ^ (hash_ >> 33)) * 0xff51afd7ed558ccdULL; }

private:
    static constexpr std::uint64_t Prime = 1099511628211ULL;

    std::uint64_t hash_ = 14695981039346656037ULL;
};

// For rendezvous hashing and other orders that all hosts agree on.
inline std::uint64_t spreadHash(std::initializer_list<std::string_view> texts)
{
    StableHash hash;
    for (const std::string_view text : texts)
        hash.add(text);
    return hash.spread();
}

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_STABLEHASH_H
