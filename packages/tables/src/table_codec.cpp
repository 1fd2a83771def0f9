#include "table_codec.h"

#include <Poco/URI.h>

namespace radishrelay::tables::detail {

using base::json;

namespace {

json formatKey(const base::row_key &Key) {
  return {{"table", Key.Table}, {"key", Key.Key}};
}

base::row_key parseKey(const json &Item) {
  return {Item.at("table").get<std::string>(),
          Item.at("key").get<std::string>()};
}

} // namespace

json formatTransaction(const base::store_transaction &Transaction) {
  json Reads = json::array();
  for (const base::row_condition &Condition : Transaction.Conditions) {
    json Item = formatKey(Condition.Key);
    Item["version"] = Condition.Version;
    Reads.push_back(std::move(Item));
  }
  json Writes = json::array();
  for (const base::row_write &Write : Transaction.Writes) {
    json Item = formatKey(Write.Key);
    Item["value"] = Write.Value;
    Writes.push_back(std::move(Item));
  }
  return {{"reads", std::move(Reads)}, {"writes", std::move(Writes)}};
}

base::store_transaction parseTransaction(const json &Document) {
  base::store_transaction Transaction;
  for (const json &Item : Document.at("reads"))
    Transaction.Conditions.push_back(
        {parseKey(Item), Item.at("version").get<base::row_version>()});
  for (const json &Item : Document.at("writes"))
    Transaction.Writes.push_back({parseKey(Item), Item.at("value")});
  return Transaction;
}

json formatRows(const std::vector<base::table_row> &Rows) {
  json Items = json::array();
  for (const base::table_row &Row : Rows) {
    json Item = formatKey(Row.Key);
    Item["version"] = Row.Version;
    Item["value"] = Row.Value;
    Items.push_back(std::move(Item));
  }
  return {{"rows", std::move(Items)}};
}

std::vector<base::table_row> parseRows(const json &Document) {
  std::vector<base::table_row> Rows;
  for (const json &Item : Document.at("rows"))
    Rows.push_back({parseKey(Item), Item.at("version").get<base::row_version>(),
                    Item.at("value")});
  return Rows;
}

json formatHosts(const std::vector<base::listed_host> &Hosts) {
  json Items = json::array();
  for (const base::listed_host &Host : Hosts) {
    bool Leaving = Host.State == base::listed_host_state::Leaving;
    Items.push_back(
        {{"host", Host.Name}, {"state", Leaving ? "leaving" : "live"}});
  }
  return Items;
}

std::vector<base::listed_host> parseHosts(const json &Document) {
  std::vector<base::listed_host> Hosts;
  for (const json &Item : Document) {
    bool Leaving = Item.at("state").get<std::string>() == "leaving";
    Hosts.push_back({Item.at("host").get<std::string>(),
                     Leaving ? base::listed_host_state::Leaving
                             : base::listed_host_state::Live});
  }
  return Hosts;
}

std::string encodeSegment(const std::string &Text) {
  std::string Encoded;
  Poco::URI::encode(Text, "/?#&%+", Encoded);
  return Encoded;
}

} // namespace radishrelay::tables::detail
