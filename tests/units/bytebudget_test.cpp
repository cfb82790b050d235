#include <monsoongrade/units/bytebudget.h>

#include <doctest/doctest.h>

using namespace monsoongrade::units;

TEST_CASE("ByteBudget.CountsWhatItsHoldersKeep")
{
    const auto budget = std::make_shared<ByteBudget>(100);
    HeldBytes first(budget);
    first.set(30);
    {
        HeldBytes second(budget);
        second.set(10);
        second.set(20);
        CHECK(budget->used() == 50);
        CHECK(budget->isShort());
    }
    CHECK(budget->used() == 30);
    CHECK_FALSE(budget->isShort());
    first.set(0);
    CHECK(budget->used() == 0);
}

TEST_CASE("ByteBudget.MayBeDestroyedBeforeItsHolders")
{
    auto budget = std::make_shared<ByteBudget>(100);
    HeldBytes holder(budget);
    HeldBytes uncounted;
    holder.set(10);
    uncounted.set(10);
    budget.reset();
    holder.set(20);
}
