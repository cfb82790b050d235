#ifndef MONSOONGRADE_UNITS_RESULT_H
#define MONSOONGRADE_UNITS_RESULT_H

#include <monsoongrade/units/error.h>

#include <boost/leaf.hpp>

#include <optional>
#include <type_traits>
#include <utility>

namespace monsoongrade::units {

template <typename T>
using Result = boost::leaf::result<T>;

// Builds the failed result that carries the given error.
inline boost::leaf::error_id fail(ResultCode code, std::string message)
{
    return boost::leaf::new_error(Error{code, std::move(message)});
}

// Runs a function that returns Result<T>; where it fails, hands the error to onError, which
// returns a T. Keeps the error-handling library's handlers out of the callers.
template <typename Function, typename OnError>
auto orElse(Function &&function, OnError &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const Error &error) { return onError(error); },
        [&]() {
            return onError(Error{ResultCode::InternalFault, "an error of no known kind"});
        });
}

// The value of a call, or the error that it failed with.
template <typename T>
struct Outcome
{
    std::optional<T> value;
    Error error;
};

// Makes the call and keeps its error as a plain value, to look at it and perhaps pass it on. An
// error that is made anew within one of LEAF's own handlers is overwritten by the one handled.
template <typename Call>
auto capture(Call &&call) -> Outcome<std::decay_t<decltype(call().value())>>
{
    using T = std::decay_t<decltype(call().value())>;
    return orElse(
        [&]() -> Result<Outcome<T>> {
            BOOST_LEAF_AUTO(value, call());
            return Outcome<T>{std::move(value), {}};
        },
        [](const Error &error) {
            return Outcome<T>{std::nullopt, error};
        });
}

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_RESULT_H
