#pragma once

#include "core/error.h"

#include <string>

namespace marjoramferry {

/** The JSON body for an error that is not the outcome of a job. */
std::string renderError(const Error &error);

} // namespace marjoramferry
