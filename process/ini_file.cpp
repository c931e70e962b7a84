#include "process/ini_file.h"

#include "core/error.h"

#include <INIReader.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <ini.h>

#include <algorithm>
#include <cctype>

namespace marjoramferry {

namespace {

std::string fullName(const std::string &section, const std::string &key)
{
    return absl::StrCat("[", absl::AsciiStrToLower(section), "] ", absl::AsciiStrToLower(key));
}

int noteKey(void *context, const char *section, const char *name, const char *)
{
    static_cast<std::set<std::string> *>(context)->insert(fullName(section, name));
    return 1;
}

struct Quantity
{
    long count = 0;
    std::string unit;
};

Quantity parseQuantity(const std::string &name, const std::string &text, const std::string &remedy)
{
    const auto split = std::ranges::find_if_not(text, [](unsigned char c) { return std::isdigit(c) != 0; });
    Quantity quantity;
    quantity.unit = std::string(split, text.end());
    if (!absl::SimpleAtoi(std::string(text.begin(), split), &quantity.count)) {
        throw Error(ErrorKind::Settings, name, "\"" + text + "\" is no quantity", remedy);
    }
    return quantity;
}

void requireAddress(const std::string &name, const std::string &text)
{
    const size_t colon = text.rfind(':');
    int port = 0;
    const bool isWhole = colon != std::string::npos && colon > 0 && absl::SimpleAtoi(text.substr(colon + 1), &port);
    constexpr int LargestPort = 65535;
    const auto isNumeric
        = [](unsigned char c) { return std::isxdigit(c) != 0 || c == '.' || c == ':' || c == '[' || c == ']'; };
    if (!isWhole || port < 1 || port > LargestPort || !std::ranges::all_of(text.substr(0, colon), isNumeric)) {
        throw Error(ErrorKind::Settings,
                    name,
                    "\"" + text + "\" is no address",
                    "give an IP number and a port, as 127.0.0.1:7100");
    }
}

} // namespace

IniFile::IniFile(const std::string &path)
    : reader_(std::make_unique<INIReader>(path))
{
    const int line = reader_->ParseError();
    if (line < 0) {
        throw Error(ErrorKind::Settings, path, "can't be read", "give the path of an INI file with --config");
    }
    if (line > 0) {
        throw Error(
            ErrorKind::Settings, absl::StrCat(path, " line ", line), "is no INI", "write key = value in a [section]");
    }
    ini_parse(path.c_str(), noteKey, &present_);
}

IniFile::~IniFile() = default;

bool IniFile::has(const std::string &section, const std::string &key)
{
    used_.insert(fullName(section, key));
    return reader_->HasValue(section, key);
}

std::string IniFile::require(const std::string &section, const std::string &key)
{
    if (!has(section, key) || reader_->Get(section, key, "").empty()) {
        throw Error(ErrorKind::Settings, fullName(section, key), "is missing", "set it; examples/ has whole files");
    }
    return reader_->Get(section, key, "");
}

std::string IniFile::text(const std::string &section, const std::string &key, const std::string &fallback)
{
    return has(section, key) ? reader_->Get(section, key, fallback) : fallback;
}

Milliseconds IniFile::duration(const std::string &section, const std::string &key, Milliseconds fallback)
{
    if (!has(section, key)) {
        return fallback;
    }
    const std::string name = fullName(section, key);
    const std::string remedy = "give a whole number with the unit ms or s, as 500ms";
    const Quantity quantity = parseQuantity(name, reader_->Get(section, key, ""), remedy);
    if (quantity.unit == "ms") {
        return Milliseconds(quantity.count);
    }
    if (quantity.unit == "s") {
        return std::chrono::seconds(quantity.count);
    }
    throw Error(ErrorKind::Settings, name, "has the unit \"" + quantity.unit + "\"", remedy);
}

size_t IniFile::bytes(const std::string &section, const std::string &key, size_t fallback)
{
    if (!has(section, key)) {
        return fallback;
    }
    const std::string name = fullName(section, key);
    const std::string remedy = "give a whole number with the unit KiB or MiB, as 8MiB";
    const Quantity quantity = parseQuantity(name, reader_->Get(section, key, ""), remedy);
    if (quantity.unit == "KiB") {
        return static_cast<size_t>(quantity.count) << 10U;
    }
    if (quantity.unit == "MiB") {
        return static_cast<size_t>(quantity.count) << 20U;
    }
    throw Error(ErrorKind::Settings, name, "has the unit \"" + quantity.unit + "\"", remedy);
}

long IniFile::number(const std::string &section, const std::string &key, long fallback, long low, long high)
{
    if (!has(section, key)) {
        return fallback;
    }
    long value = 0;
    const bool isNumber = absl::SimpleAtoi(reader_->Get(section, key, ""), &value);
    if (!isNumber || value < low || value > high) {
        throw Error(ErrorKind::Settings,
                    fullName(section, key),
                    "is no number in range",
                    absl::StrCat("give a whole number from ", low, " to ", high));
    }
    return value;
}

std::string IniFile::address(const std::string &section, const std::string &key)
{
    std::string value = require(section, key);
    requireAddress(fullName(section, key), value);
    return value;
}

std::vector<std::string> IniFile::addresses(const std::string &section, const std::string &key)
{
    const std::string list = require(section, key);
    std::vector<std::string> result;
    for (const absl::string_view part : absl::StrSplit(list, ',', absl::SkipWhitespace())) {
        result.emplace_back(absl::StripAsciiWhitespace(part));
        requireAddress(fullName(section, key), result.back());
    }
    return result;
}

void IniFile::requireAllUsed() const
{
    for (const std::string &name : present_) {
        if (!used_.contains(name)) {
            throw Error(ErrorKind::Settings, name, "is not a known key", "remove it or mend its name");
        }
    }
}

} // namespace marjoramferry
