#include <requests/internal/tokensused.h>

#include <nlohmann/json.hpp>

namespace monsoongrade::requests::internal {

std::int64_t tokensOfWholeAnswer(const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object())
        return 0;
    const auto &usage = answer["usage"];
    const auto tokens = usage.find("completion_tokens");
    return tokens != usage.end() && tokens->is_number_integer() ? tokens->get<std::int64_t>() : 0;
}

} // namespace monsoongrade::requests::internal
