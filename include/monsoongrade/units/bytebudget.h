#ifndef MONSOONGRADE_UNITS_BYTEBUDGET_H
#define MONSOONGRADE_UNITS_BYTEBUDGET_H

#include <cstddef>
#include <memory>
#include <utility>

namespace monsoongrade::units {

// Counts the bytes that many holders keep in memory together. It limits nothing itself: holders ask
// it how much they may keep. Not thread-safe.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t max)
        : max_(max)
    {
    }

    std::size_t used() const { return used_; }
    // Half of the budget is used: from now on each holder should keep little.
    bool isShort() const { return used_ >= max_ / 2; }

private:
    friend class HeldBytes;

    std::size_t max_;
    std::size_t used_ = 0;
};

// The bytes of one holder, which are counted until it is destroyed.
class HeldBytes
{
public:
    // Without a budget, nothing is counted.
    explicit HeldBytes(std::shared_ptr<ByteBudget> budget = nullptr)
        : budget_(std::move(budget))
    {
    }
    ~HeldBytes() { set(0); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    void set(std::size_t bytes)
    {
        if (budget_ == nullptr)
            return;
        budget_->used_ += bytes - bytes_;
        bytes_ = bytes;
    }

private:
    std::shared_ptr<ByteBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_BYTEBUDGET_H
