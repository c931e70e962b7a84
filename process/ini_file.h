#pragma once

#include "core/time.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

class INIReader;

namespace marjoramferry {

/** An INI file whose keys are all looked up by name; what nobody looked up is an error at the end. */
class IniFile
{
public:
    /** Throws Settings if the file can't be read. */
    explicit IniFile(const std::string &path);
    ~IniFile();

    /** The text at a key; throws Settings if it is missing. */
    std::string require(const std::string &section, const std::string &key);

    std::string text(const std::string &section, const std::string &key, const std::string &fallback);

    /** A duration with its unit, as "500ms" or "2s". */
    Milliseconds duration(const std::string &section, const std::string &key, Milliseconds fallback);

    /** A size with its unit, as "64KiB" or "8MiB". */
    size_t bytes(const std::string &section, const std::string &key, size_t fallback);

    long number(const std::string &section, const std::string &key, long fallback, long low, long high);

    /** An IP number and a port, as "127.0.0.1:7100". */
    std::string address(const std::string &section, const std::string &key);

    /** Addresses parted by commas; at least one. */
    std::vector<std::string> addresses(const std::string &section, const std::string &key);

    /** Throws Settings if the file holds a key that was not looked up. */
    void requireAllUsed() const;

private:
    bool has(const std::string &section, const std::string &key);

    std::unique_ptr<INIReader> reader_;
    std::set<std::string> used_;
    std::set<std::string> present_;
};

} // namespace marjoramferry
