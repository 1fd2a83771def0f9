#include "radishrelay/base/settings_table.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>

#include <sstream>

namespace radishrelay::base::detail {

failure entryFailure(settings_error Error, const ini_document &Document,
                     const ini_entry &Entry, const std::string &Allowed) {
  std::string Place = Document.FileName + ":" + std::to_string(Entry.Line);
  std::string Detail =
      "[" + Entry.Section + "] " + Entry.Key + "; allowed: " + Allowed;
  return {make_error_code(Error), "check settings", Place, Detail};
}

expected<std::int64_t> parseInteger(const ini_document &Document,
                                    const ini_entry &Entry,
                                    integer_range Range) {
  std::string Allowed = "an integer from " + std::to_string(Range.Lowest) +
                        " to " + std::to_string(Range.Highest);
  Poco::Int64 Number = 0;
  if (!Poco::NumberParser::tryParse64(Entry.Value, Number))
    return entryFailure(settings_error::ValueMalformed, Document, Entry,
                        Allowed);
  if (Number < Range.Lowest || Number > Range.Highest)
    return entryFailure(settings_error::ValueOutOfRange, Document, Entry,
                        Allowed);
  return static_cast<std::int64_t>(Number);
}

expected<double> parseDecimal(const ini_document &Document,
                              const ini_entry &Entry, decimal_range Range) {
  std::ostringstream Allowed;
  Allowed << "a number from " << Range.Lowest << " to " << Range.Highest;
  double Number = 0;
  if (!Poco::NumberParser::tryParseFloat(Entry.Value, Number))
    return entryFailure(settings_error::ValueMalformed, Document, Entry,
                        Allowed.str());
  // The comparison also rejects what is not a number.
  bool IsInRange = Number >= Range.Lowest && Number <= Range.Highest;
  if (!IsInRange)
    return entryFailure(settings_error::ValueOutOfRange, Document, Entry,
                        Allowed.str());
  return Number;
}

expected<std::string> parseAddress(const ini_document &Document,
                                   const ini_entry &Entry) {
  constexpr int MaxPort = 65535;
  std::size_t Colon = Entry.Value.rfind(':');
  int Port = -1;
  Poco::Net::IPAddress Address;
  bool Valid =
      Colon != std::string::npos &&
      Poco::Net::IPAddress::tryParse(Entry.Value.substr(0, Colon), Address) &&
      Poco::NumberParser::tryParse(Entry.Value.substr(Colon + 1), Port) &&
      Port >= 0 && Port <= MaxPort;
  if (!Valid)
    return entryFailure(settings_error::ValueMalformed, Document, Entry,
                        "IP:PORT, for example 127.0.0.1:8080");
  return Entry.Value;
}

} // namespace radishrelay::base::detail
