#include "core/error.h"

#include <absl/strings/str_cat.h>

namespace marjoramferry {

std::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Malformed:
        return "malformed";
    case ErrorKind::TooLarge:
        return "too_large";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Settings:
        return "settings";
    case ErrorKind::Unavailable:
        return "unavailable";
    }
    return "unknown";
}

Error::Error(ErrorKind kind, std::string_view subject, std::string_view problem, std::string_view remedy)
    : std::runtime_error(absl::StrCat(absl::string_view(subject.data(), subject.size()),
                                      ": ",
                                      absl::string_view(problem.data(), problem.size()),
                                      "; ",
                                      absl::string_view(remedy.data(), remedy.size())))
    , kind_(kind)
    , subject_(subject)
{
}

} // namespace marjoramferry
