#include "radishrelay/fleet/configuration_patch.h"

#include <algorithm>

namespace radishrelay::fleet {

namespace {

/// Visitor that applies one operation to a document. The caller validates the
/// document after the last operation.
class patch_applier {
public:
  patch_applier(configuration_document &Document, std::string Place,
                configuration_errors &Errors)
      : Document(Document), Place(std::move(Place)), Errors(Errors) {}

  void operator()(const create_account &Operation) {
    if (findAccount(Operation.Account, false))
      return fail("account",
                  "\"" + Operation.Account.str() + "\" exists already");
    Document.Accounts.push_back(
        {Operation.Account, Operation.RatePerSecond, Operation.Burst, {}});
  }

  void operator()(const remove_account &Operation) {
    client_account *Account = findAccount(Operation.Account, true);
    if (!Account)
      return;
    if (!Account->Keys.empty() && !Operation.Force)
      return fail("account",
                  "has keys in use; \"force\":true removes it with them");
    std::erase_if(Document.Accounts, [&](const client_account &Item) {
      return Item.Id == Operation.Account;
    });
  }

  void operator()(const set_limit &Operation) {
    client_account *Account = findAccount(Operation.Account, true);
    if (!Account)
      return;
    Account->RatePerSecond = Operation.RatePerSecond;
    Account->Burst = Operation.Burst;
  }

  void operator()(const grant_key &Operation) {
    if (client_account *Account = findAccount(Operation.Account, true))
      Account->Keys.push_back(Operation.Key);
  }

  void operator()(const withdraw_key &Operation) {
    client_account *Account = findAccount(Operation.Account, true);
    if (!Account)
      return;
    auto Found = std::find_if(
        Account->Keys.begin(), Account->Keys.end(),
        [&](const account_key &Key) { return Key.Id == Operation.Key; });
    if (Found == Account->Keys.end())
      return fail("key", "unknown key \"" + Operation.Key + "\"");
    if (Account->Keys.size() == 1 && !Operation.Force)
      return fail("key", "is the last key in use of the account; "
                         "\"force\":true withdraws it");
    Account->Keys.erase(Found);
  }

  void operator()(const set_route &Operation) {
    replace(Document.Routes, Operation.Route, [&](const route &Item) {
      return Item.Name == Operation.Route.Name;
    });
  }

  void operator()(const remove_route &Operation) {
    auto Removed = std::erase_if(Document.Routes, [&](const route &Item) {
      return Item.Name == Operation.Name;
    });
    if (Removed == 0)
      fail("name", "unknown route \"" + Operation.Name + "\"");
  }

  void operator()(const set_group &Operation) {
    replace(Document.Groups, Operation.Group, [&](const database_group &Item) {
      return Item.Id == Operation.Group.Id;
    });
  }

  void operator()(const remove_group &Operation) {
    auto Removed =
        std::erase_if(Document.Groups, [&](const database_group &Item) {
          return Item.Id == Operation.Group;
        });
    if (Removed == 0)
      fail("group", "unknown group \"" + Operation.Group.str() + "\"");
  }

  void operator()(const rotate_session_key &Operation) {
    if (Operation.Keep < 0)
      return fail("keep", "must not be negative");
    std::vector<session_key> Others = Document.SessionKeys;
    std::erase_if(Others,
                  [&](const session_key &Key) { return Key == Operation.Key; });
    if (std::cmp_less(Operation.Keep, Others.size()))
      Others.resize(static_cast<std::size_t>(Operation.Keep));
    Others.insert(Operation.Sign ? Others.begin() : Others.end(),
                  Operation.Key);
    Document.SessionKeys = std::move(Others);
  }

  void operator()(const set_witnesses &Operation) {
    if (!Document.PreviousWitnesses.empty())
      return fail("witnesses", "an earlier change is not yet confirmed");
    if (Operation.Witnesses.empty())
      return fail("witnesses", "must not be empty");
    Document.PreviousWitnesses = Document.Witnesses;
    Document.Witnesses = Operation.Witnesses;
  }

  void operator()(const confirm_witnesses &) {
    if (Document.PreviousWitnesses.empty())
      return fail("operation", "no change of witnesses is in progress");
    Document.PreviousWitnesses.clear();
  }

private:
  void fail(const char *Member, std::string Message) {
    Errors.push_back({Place + "." + Member, std::move(Message)});
  }

  client_account *findAccount(const base::account_id &Id, bool Required) {
    for (client_account &Account : Document.Accounts)
      if (Account.Id == Id)
        return &Account;
    if (Required)
      fail("account", "unknown account \"" + Id.str() + "\"");
    return nullptr;
  }

  template <typename Item, typename Predicate>
  void replace(std::vector<Item> &Items, const Item &Value, Predicate Matches) {
    auto Found = std::find_if(Items.begin(), Items.end(), Matches);
    if (Found == Items.end())
      Items.push_back(Value);
    else
      *Found = Value;
  }

  configuration_document &Document;
  std::string Place;
  configuration_errors &Errors;
};

} // namespace

base::expected<configuration_document, configuration_errors>
applyPatch(const configuration_document &Document,
           const configuration_patch &Patch) {
  configuration_errors Errors;
  configuration_document Result = Document;
  ++Result.Version;
  if (Patch.empty())
    Errors.push_back({"operations", "must not be empty"});
  for (std::size_t Index = 0; Index < Patch.size(); ++Index) {
    std::string Place = "operations[" + std::to_string(Index) + "]";
    std::visit(patch_applier(Result, Place, Errors), Patch[Index]);
  }
  if (Errors.empty())
    Errors = validateConfiguration(Result);
  if (!Errors.empty())
    return Errors;
  return Result;
}

} // namespace radishrelay::fleet
