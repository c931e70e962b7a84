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
#include <cmath>

namespace marjoramferry {

namespace {

std::string qualifiedName(const std::string &section, const std::string &key)
{
    return absl::StrCat("[", absl::AsciiStrToLower(section), "] ", absl::AsciiStrToLower(key));
}

int recordKey(void *context, const char *section, const char *name, const char *)
{
    static_cast<std::set<std::string> *>(context)->insert(qualifiedName(section, name));
    return 1;
}

struct Quantity
{
    double count = 0; ///< Not negative.
    std::string unit;
};

Quantity parseQuantity(const std::string &name, const std::string &text, const std::string &remedy)
{
    const auto isPartOfNumber = [](unsigned char c) { return std::isdigit(c) != 0 || c == '.'; };
    const auto unitStart = std::ranges::find_if_not(text, isPartOfNumber);
    Quantity quantity;
    quantity.unit = std::string(unitStart, text.end());
    constexpr double MaxCount = 1e12;
    const bool isNumber = absl::SimpleAtod(std::string(text.begin(), unitStart), &quantity.count);
    if (!isNumber || quantity.count > MaxCount) {
        throw Error(ErrorKind::Settings, name, "\"" + text + "\" is not a valid quantity", remedy);
    }
    return quantity;
}

void validateAddress(const std::string &name, const std::string &text)
{
    const size_t colon = text.rfind(':');
    int port = 0;
    const bool hasPort = colon != std::string::npos && colon > 0 && absl::SimpleAtoi(text.substr(colon + 1), &port);
    constexpr int MaxPort = 65535;
    const auto isAddressCharacter
        = [](unsigned char c) { return std::isxdigit(c) != 0 || c == '.' || c == ':' || c == '[' || c == ']'; };
    if (!hasPort || port < 1 || port > MaxPort || !std::ranges::all_of(text.substr(0, colon), isAddressCharacter)) {
        throw Error(ErrorKind::Settings,
                    name,
                    "\"" + text + "\" is not a valid address",
                    "use an IP address and a port, such as 127.0.0.1:7100");
    }
}

size_t bytesOf(const Quantity &quantity, const std::string &name, const std::string &remedy)
{
    constexpr double KiB = 1024;
    if (quantity.unit == "KiB") {
        return static_cast<size_t>(quantity.count * KiB);
    }
    if (quantity.unit == "MiB") {
        return static_cast<size_t>(quantity.count * KiB * KiB);
    }
    throw Error(ErrorKind::Settings, name, "has a missing or unknown unit \"" + quantity.unit + "\"", remedy);
}

} // namespace

IniFile::IniFile(const std::string &path)
    : reader_(std::make_unique<INIReader>(path))
{
    const int line = reader_->ParseError();
    if (line < 0) {
        throw Error(ErrorKind::Settings, path, "can't be read", "pass the path of an INI file with --config");
    }
    if (line > 0) {
        throw Error(ErrorKind::Settings,
                    absl::StrCat(path, " line ", line),
                    "is not valid INI syntax",
                    "write key = value in a [section]");
    }
    ini_parse(path.c_str(), recordKey, &presentKeys_);
}

IniFile::~IniFile() = default;

bool IniFile::lookUp(const std::string &section, const std::string &key)
{
    lookedUpKeys_.insert(qualifiedName(section, key));
    return reader_->HasValue(section, key);
}

std::string IniFile::require(const std::string &section, const std::string &key)
{
    if (!lookUp(section, key) || reader_->Get(section, key, "").empty()) {
        throw Error(ErrorKind::Settings,
                    qualifiedName(section, key),
                    "is missing or empty",
                    "set it; see examples/ for complete files");
    }
    return reader_->Get(section, key, "");
}

std::string IniFile::text(const std::string &section, const std::string &key, const std::string &fallback)
{
    return lookUp(section, key) ? reader_->Get(section, key, fallback) : fallback;
}

Milliseconds IniFile::duration(const std::string &section, const std::string &key, Milliseconds fallback)
{
    if (!lookUp(section, key)) {
        return fallback;
    }
    const std::string name = qualifiedName(section, key);
    const std::string remedy = "use a number with the unit ms or s, such as 500ms or 1.5s";
    const Quantity quantity = parseQuantity(name, reader_->Get(section, key, ""), remedy);
    if (quantity.unit == "ms") {
        return Milliseconds(std::llround(quantity.count));
    }
    if (quantity.unit == "s") {
        constexpr int MillisecondsPerSecond = 1000;
        return Milliseconds(std::llround(quantity.count * MillisecondsPerSecond));
    }
    throw Error(ErrorKind::Settings, name, "has a missing or unknown unit \"" + quantity.unit + "\"", remedy);
}

size_t IniFile::bytes(const std::string &section, const std::string &key, size_t fallback)
{
    if (!lookUp(section, key)) {
        return fallback;
    }
    const std::string name = qualifiedName(section, key);
    const std::string remedy = "use a whole number with the unit KiB or MiB, such as 8MiB";
    const Quantity quantity = parseQuantity(name, reader_->Get(section, key, ""), remedy);
    if (quantity.count != std::floor(quantity.count)) {
        throw Error(ErrorKind::Settings, name, "is not a whole number", remedy);
    }
    return bytesOf(quantity, name, remedy);
}

size_t IniFile::memory(const std::string &section, const std::string &key, size_t fallback)
{
    if (!lookUp(section, key)) {
        return fallback;
    }
    const std::string name = qualifiedName(section, key);
    const std::string remedy = "use a number with the unit KiB or MiB, such as 260MiB";
    return bytesOf(parseQuantity(name, reader_->Get(section, key, ""), remedy), name, remedy);
}

double IniFile::decimal(const std::string &section, const std::string &key, double fallback, double min, double max)
{
    if (!lookUp(section, key)) {
        return fallback;
    }
    double value = 0;
    const bool isNumber = absl::SimpleAtod(reader_->Get(section, key, ""), &value);
    if (!isNumber || !(value >= min && value <= max)) {
        throw Error(ErrorKind::Settings,
                    qualifiedName(section, key),
                    "is not a number in the allowed range",
                    absl::StrCat("use a number from ", min, " to ", max));
    }
    return value;
}

bool IniFile::boolean(const std::string &section, const std::string &key, bool fallback)
{
    if (!lookUp(section, key)) {
        return fallback;
    }
    const std::string value = reader_->Get(section, key, "");
    if (value != "true" && value != "false") {
        throw Error(ErrorKind::Settings, qualifiedName(section, key), "is not a switch", "use true or false");
    }
    return value == "true";
}

long IniFile::number(const std::string &section, const std::string &key, long fallback, long min, long max)
{
    if (!lookUp(section, key)) {
        return fallback;
    }
    long value = 0;
    const bool isNumber = absl::SimpleAtoi(reader_->Get(section, key, ""), &value);
    if (!isNumber || value < min || value > max) {
        throw Error(ErrorKind::Settings,
                    qualifiedName(section, key),
                    "is not a number in the allowed range",
                    absl::StrCat("use a whole number from ", min, " to ", max));
    }
    return value;
}

std::string IniFile::address(const std::string &section, const std::string &key)
{
    std::string value = require(section, key);
    validateAddress(qualifiedName(section, key), value);
    return value;
}

std::vector<std::string> IniFile::addresses(const std::string &section, const std::string &key)
{
    const std::string list = require(section, key);
    std::vector<std::string> result;
    for (const absl::string_view part : absl::StrSplit(list, ',', absl::SkipWhitespace())) {
        result.emplace_back(absl::StripAsciiWhitespace(part));
        validateAddress(qualifiedName(section, key), result.back());
    }
    return result;
}

void IniFile::rejectUnknownKeys() const
{
    for (const std::string &name : presentKeys_) {
        if (!lookedUpKeys_.contains(name)) {
            throw Error(ErrorKind::Settings, name, "is not a known key", "remove it or correct its name");
        }
    }
}

} // namespace marjoramferry
