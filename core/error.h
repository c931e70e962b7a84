#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace marjoramferry {

/** The kinds of error a caller or an operator can meet. */
enum class ErrorKind {
    Malformed, ///< The input breaks its format; sending it again will not help.
    TooLarge, ///< The input is over a size bound.
    Conflict, ///< Another change or another body won.
    NotFound,
    Settings, ///< The INI file has an error.
    Unavailable, ///< A peer or the platform did not answer; try again.
};

/** The name of @p kind as it stands in JSON answers and logs. */
std::string_view errorKindName(ErrorKind kind);

/** The exception of this project. Its message ends in what to do about it. */
class Error : public std::runtime_error
{
public:
    /** @p subject names the field, key or row at fault; @p remedy says what to change. */
    Error(ErrorKind kind, std::string_view subject, std::string_view problem, std::string_view remedy);

    ErrorKind kind() const
    {
        return kind_;
    }

    const std::string &subject() const
    {
        return subject_;
    }

private:
    ErrorKind kind_;
    std::string subject_;
};

} // namespace marjoramferry
