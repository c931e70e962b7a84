#pragma once

#include "core/time.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

class INIReader;

namespace marjoramferry {

/** Reads typed values from an INI file, and records which keys are looked up so that unknown keys can be rejected. */
class IniFile
{
public:
    /** Throws Settings if the file can't be read or parsed. */
    explicit IniFile(const std::string &path);
    ~IniFile();

    /** Returns the value of a key. Throws Settings if it is missing or empty. */
    std::string require(const std::string &section, const std::string &key);

    std::string text(const std::string &section, const std::string &key, const std::string &fallback);

    /** Returns a duration, given as a number with the unit ms or s, e.g. "500ms" or "1.5s". */
    Milliseconds duration(const std::string &section, const std::string &key, Milliseconds fallback);

    /** Returns a size in bytes, given as a whole number with the unit KiB or MiB, e.g. "64KiB" or "8MiB". */
    size_t bytes(const std::string &section, const std::string &key, size_t fallback);

    /** Returns a size as bytes() does, which may have a fraction, e.g. "97.5MiB"; rounded down. */
    size_t memory(const std::string &section, const std::string &key, size_t fallback);

    /** Returns a number with or without a fraction. Throws Settings if it is not between @p min and @p max. */
    double decimal(const std::string &section, const std::string &key, double fallback, double min, double max);

    long number(const std::string &section, const std::string &key, long fallback, long min, long max);

    /** Returns a switch, given as "true" or "false". */
    bool boolean(const std::string &section, const std::string &key, bool fallback);

    /** Returns an IP address with a port, e.g. "127.0.0.1:7100". Throws Settings if it is missing. */
    std::string address(const std::string &section, const std::string &key);

    /** Returns a comma-separated list of addresses. Throws Settings if it is missing. */
    std::vector<std::string> addresses(const std::string &section, const std::string &key);

    /** Throws Settings if the file contains a key that was not looked up. */
    void rejectUnknownKeys() const;

private:
    bool lookUp(const std::string &section, const std::string &key);

    std::unique_ptr<INIReader> reader_;
    std::set<std::string> lookedUpKeys_;
    std::set<std::string> presentKeys_;
};

} // namespace marjoramferry
