#include "event/error_json.h"

#include <nlohmann/json.hpp>

namespace marjoramferry {

using nlohmann::json;

std::string renderError(const Error &error)
{
    return json{
        {"error", {{"kind", errorKindName(error.kind())}, {"field", error.subject()}, {"message", error.what()}}}}
        .dump();
}

} // namespace marjoramferry
