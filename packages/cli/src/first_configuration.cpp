#include "first_configuration.h"

#include "radishrelay/fleet/configuration_rows.h"
#include "radishrelay/tables/table_client.h"

namespace radishrelay::cli {

base::store_answer
storeFirstConfiguration(const std::string &PlatformAddress,
                        const fleet::configuration_document &Document) {
  constexpr base::duration Timeout = std::chrono::seconds(10);
  base::json Version = base::json::object();
  Version["version"] = Document.Version;
  Version["digest"] = fleet::configurationDigest(Document);
  base::store_transaction Transaction;
  Transaction.Conditions.push_back({fleet::currentRow(), 0});
  Transaction.Writes.push_back(
      {fleet::currentRow(), fleet::formatConfiguration(Document)});
  Transaction.Writes.push_back({fleet::versionRow(), Version});
  tables::table_client Client(PlatformAddress);
  return Client.execute(Transaction, base::monotonic_clock::now() + Timeout);
}

} // namespace radishrelay::cli
