#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace marjoramferry {

/** Categories of errors that are reported to callers and operators. */
enum class ErrorKind {
    Malformed, ///< The input violates its format; retrying it unchanged fails again.
    TooLarge, ///< The input exceeds a size limit.
    Conflict, ///< A concurrent or earlier change conflicts with this one.
    NotFound,
    Settings, ///< The settings file has an error.
    Unavailable, ///< A peer or the platform did not answer; the call can be retried.
};

/** Returns the name of @p kind that is used in JSON answers and logs. */
std::string_view errorKindName(ErrorKind kind);

/** Exception with a kind and a message of the form "subject: problem; remedy". */
class Error : public std::runtime_error
{
public:
    /** @p subject names the invalid field, key or row; @p remedy tells how to correct the error. */
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
