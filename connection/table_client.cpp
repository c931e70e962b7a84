#include "connection/table_client.h"

#include "core/json_nesting.h"
#include "event/message.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace marjoramferry {

using nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

json buildTransactionBody(const TableTransaction &transaction)
{
    json body = {{"conditions", json::array()}, {"puts", json::array()}, {"deletes", transaction.deletes}};
    for (const RowCondition &condition : transaction.conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (const RowPut &put : transaction.puts) {
        body["puts"].push_back({{"key", put.key}, {"value", put.value}});
    }
    return body;
}

TableResult parseResult(const HttpResult &http)
{
    TableResult result;
    if (http.outcome == HttpOutcome::Answered && http.status == StatusConflict) {
        result.outcome = TableOutcome::Conflict;
        return result;
    }
    if (http.outcome != HttpOutcome::Answered || http.status != StatusOk) {
        return result;
    }
    try {
        const json body = isNestedTooDeeply(http.body) ? json() : json::parse(http.body);
        result.version = body.at("version").get<int64_t>();
        for (const json &row : body.value("rows", json::array())) {
            result.rows.push_back(Row{row.at("key").get<std::string>(),
                                      row.at("version").get<int64_t>(),
                                      row.at("value").get<std::string>()});
        }
        result.outcome = TableOutcome::Done;
    } catch (const json::exception &) {
        // A response that can't be parsed doesn't tell whether the transaction was applied.
        result = TableResult();
    }
    return result;
}

} // namespace

TableClient::TableClient(HttpClient &http, std::string address, Milliseconds timeout)
    : http_(http)
    , address_(std::move(address))
    , timeout_(timeout)
{
}

void TableClient::call(const TableRequest &request, Callback callback)
{
    HttpCall call;
    call.timeout = timeout_;
    std::visit(Overloaded{
                   [&](const TableRead &read) {
                       call.url = "http://" + address_ + "/v1/read";
                       call.body = json{{"prefix", read.prefix}}.dump();
                   },
                   [&](const TableTransaction &transaction) {
                       call.url = "http://" + address_ + "/v1/transactions";
                       call.body = buildTransactionBody(transaction).dump();
                   },
               },
               request);
    http_.call(std::move(call),
               [callback = std::move(callback)](const HttpResult &result) { callback(parseResult(result)); });
}

} // namespace marjoramferry
