#include "radishrelay/daemon/service_view.h"

namespace radishrelay::daemon {

namespace {

std::vector<accounts::key_record>
keyRecords(const fleet::configuration_document &Document) {
  std::vector<accounts::key_record> Records;
  for (const fleet::client_account &Account : Document.Accounts)
    for (const fleet::account_key &Key : Account.Keys)
      Records.push_back({Account.Id, Key.Id, Key.Salt, Key.Digest});
  return Records;
}

std::vector<groups::signing_key>
signingKeys(const fleet::configuration_document &Document) {
  std::vector<groups::signing_key> Keys;
  for (const fleet::session_key &Key : Document.SessionKeys)
    Keys.push_back({Key.Id, Key.Secret});
  return Keys;
}

} // namespace

base::expected<service_view_ptr>
makeServiceView(const fleet::configuration_pointer &Document) {
  auto Keys = accounts::key_verifier::create(keyRecords(*Document));
  if (!Keys)
    return Keys.error();
  service_view View{fleet::configuration_index(Document), std::move(*Keys),
                    groups::session_token_codec(signingKeys(*Document)),
                    groups::transaction_handle_codec(signingKeys(*Document))};
  return std::make_shared<const service_view>(std::move(View));
}

} // namespace radishrelay::daemon
