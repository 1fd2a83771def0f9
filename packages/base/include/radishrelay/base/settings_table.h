#ifndef RADISHRELAY_BASE_SETTINGS_TABLE_H
#define RADISHRELAY_BASE_SETTINGS_TABLE_H

#include "radishrelay/base/ini_document.h"
#include "radishrelay/base/settings_error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace radishrelay::base {

/// Inclusive range of an integer setting.
struct integer_range {
  std::int64_t Lowest = 0;
  std::int64_t Highest = 0;

  friend auto operator<=>(const integer_range &,
                          const integer_range &) = default;
};

/// Inclusive range of a decimal setting.
struct decimal_range {
  double Lowest = 0;
  double Highest = 0;

  friend auto operator<=>(const decimal_range &,
                          const decimal_range &) = default;
};

namespace detail {

/// Returns a failure that names the file, line, section and key of \p Entry and
/// the \p Allowed values.
failure entryFailure(settings_error Error, const ini_document &Document,
                     const ini_entry &Entry, const std::string &Allowed);

expected<std::int64_t> parseInteger(const ini_document &Document,
                                    const ini_entry &Entry,
                                    integer_range Range);

expected<double> parseDecimal(const ini_document &Document,
                              const ini_entry &Entry, decimal_range Range);

expected<std::string> parseAddress(const ini_document &Document,
                                   const ini_entry &Entry);

} // namespace detail

/// Validation that is applied to the text of a setting.
enum class setting_form { Text, Address, Choice };

/// Describes one setting: its section and key in the file, its validation and
/// the member of \p Options that stores its value.
template <typename Options> struct setting {
  std::string Section;
  /// A key that ends in ".*" matches any non-empty suffix; the member is a map
  /// from suffix to value.
  std::string Key;
  std::variant<std::string Options::*, std::int64_t Options::*,
               double Options::*, std::map<std::string, std::string> Options::*>
      Member;
  bool Required;
  setting_form Form;
  integer_range Range;
  std::vector<std::string> Choices;
  decimal_range DecimalRange{};
};

/// Whether a settings file must contain a setting.
enum class presence { Optional, Required };

template <typename Options>
setting<Options> textSetting(std::string Section, std::string Key,
                             std::string Options::*Member,
                             presence Presence = presence::Optional) {
  return {std::move(Section),
          std::move(Key),
          Member,
          Presence == presence::Required,
          setting_form::Text,
          integer_range{},
          {}};
}

/// Describes an address "IP:PORT".
template <typename Options>
setting<Options> addressSetting(std::string Section, std::string Key,
                                std::string Options::*Member,
                                presence Presence = presence::Optional) {
  return {std::move(Section),
          std::move(Key),
          Member,
          Presence == presence::Required,
          setting_form::Address,
          integer_range{},
          {}};
}

/// Describes a setting whose value is one of \p Choices.
template <typename Options>
setting<Options> choiceSetting(std::string Section, std::string Key,
                               std::string Options::*Member,
                               std::vector<std::string> Choices) {
  return {std::move(Section),
          std::move(Key),
          Member,
          false,
          setting_form::Choice,
          integer_range{},
          std::move(Choices)};
}

/// Describes an integer within \p Range.
template <typename Options>
setting<Options> integerSetting(std::string Section, std::string Key,
                                std::int64_t Options::*Member,
                                integer_range Range) {
  return {std::move(Section), std::move(Key), Member, false,
          setting_form::Text, Range,          {}};
}

/// Describes a decimal number within \p Range.
template <typename Options>
setting<Options> decimalSetting(std::string Section, std::string Key,
                                double Options::*Member, decimal_range Range) {
  return {std::move(Section), std::move(Key),  Member, false,
          setting_form::Text, integer_range{}, {},     Range};
}

/// Describes all keys "Prefix.SUFFIX"; \p Key is "Prefix.*".
template <typename Options>
setting<Options>
mapSetting(std::string Section, std::string Key,
           std::map<std::string, std::string> Options::*Member) {
  return {std::move(Section), std::move(Key),  Member, false,
          setting_form::Text, integer_range{}, {}};
}

/// The settings that a program accepts. Validates an INI document and converts
/// it to \p Options.
template <typename Options> class settings_table {
public:
  explicit settings_table(std::vector<setting<Options>> Settings)
      : Settings(std::move(Settings)) {}

  /// Validates the document. A failure names the file, line, key and the
  /// allowed values; for a missing required key it names the file and the key.
  expected<Options> parse(const ini_document &Document) const {
    Options Result;
    std::set<std::pair<std::string, std::string>> Seen;
    for (const ini_entry &Entry : Document.Entries) {
      if (!Seen.emplace(Entry.Section, Entry.Key).second)
        return detail::entryFailure(settings_error::KeyRepeated, Document,
                                    Entry, "one value per key");
      const setting<Options> *Found = find(Entry);
      if (!Found)
        return unknownEntry(Document, Entry);
      if (failure Failure = assign(Result, *Found, Document, Entry))
        return Failure;
    }
    for (const setting<Options> &Setting : Settings)
      if (Setting.Required && !Seen.count({Setting.Section, Setting.Key}))
        return failure{make_error_code(settings_error::KeyMissing),
                       "check settings", Document.FileName,
                       "[" + Setting.Section + "] " + Setting.Key};
    return Result;
  }

private:
  static bool matches(const setting<Options> &Setting, const ini_entry &Entry) {
    if (Setting.Section != Entry.Section)
      return false;
    if (!Setting.Key.ends_with(".*"))
      return Setting.Key == Entry.Key;
    std::string Prefix = Setting.Key.substr(0, Setting.Key.size() - 1);
    return Entry.Key.starts_with(Prefix) && Entry.Key.size() > Prefix.size();
  }

  const setting<Options> *find(const ini_entry &Entry) const {
    for (const setting<Options> &Setting : Settings)
      if (matches(Setting, Entry))
        return &Setting;
    return nullptr;
  }

  failure unknownEntry(const ini_document &Document,
                       const ini_entry &Entry) const {
    std::set<std::string> Sections;
    std::set<std::string> Keys;
    for (const setting<Options> &Setting : Settings) {
      Sections.insert(Setting.Section);
      if (Setting.Section == Entry.Section)
        Keys.insert(Setting.Key);
    }
    bool KnownSection = !Keys.empty();
    std::string Allowed = KnownSection ? "allowed keys:" : "allowed sections:";
    for (const std::string &Name : KnownSection ? Keys : Sections)
      Allowed += " " + Name;
    settings_error Error = KnownSection ? settings_error::KeyUnknown
                                        : settings_error::SectionUnknown;
    return detail::entryFailure(Error, Document, Entry, Allowed);
  }

  static failure assign(Options &Result, const setting<Options> &Setting,
                        const ini_document &Document, const ini_entry &Entry) {
    if (auto *Integer = std::get_if<std::int64_t Options::*>(&Setting.Member)) {
      auto Parsed = detail::parseInteger(Document, Entry, Setting.Range);
      if (!Parsed)
        return Parsed.error();
      Result.*(*Integer) = *Parsed;
      return {};
    }
    if (auto *Decimal = std::get_if<double Options::*>(&Setting.Member)) {
      auto Parsed = detail::parseDecimal(Document, Entry, Setting.DecimalRange);
      if (!Parsed)
        return Parsed.error();
      Result.*(*Decimal) = *Parsed;
      return {};
    }
    if (auto *Map = std::get_if<std::map<std::string, std::string> Options::*>(
            &Setting.Member)) {
      std::string Suffix = Entry.Key.substr(Setting.Key.size() - 1);
      (Result.*(*Map))[Suffix] = Entry.Value;
      return {};
    }
    if (failure Failure = checkText(Setting, Document, Entry))
      return Failure;
    Result.*std::get<std::string Options::*>(Setting.Member) = Entry.Value;
    return {};
  }

  static failure checkText(const setting<Options> &Setting,
                           const ini_document &Document,
                           const ini_entry &Entry) {
    if (Setting.Form == setting_form::Address) {
      auto Parsed = detail::parseAddress(Document, Entry);
      return Parsed ? failure{} : Parsed.error();
    }
    if (Setting.Form == setting_form::Choice)
      return checkChoice(Setting, Document, Entry);
    if (Entry.Value.empty())
      return detail::entryFailure(settings_error::ValueMalformed, Document,
                                  Entry, "a non-empty text");
    return {};
  }

  static failure checkChoice(const setting<Options> &Setting,
                             const ini_document &Document,
                             const ini_entry &Entry) {
    std::string Allowed = "one of";
    for (const std::string &Choice : Setting.Choices) {
      if (Choice == Entry.Value)
        return {};
      Allowed += " " + Choice;
    }
    return detail::entryFailure(settings_error::ValueOutOfRange, Document,
                                Entry, Allowed);
  }

  std::vector<setting<Options>> Settings;
};

} // namespace radishrelay::base

#endif
