#pragma once

#include "modules/berylcrank_gateway/server/exchange.h"
#include "standins/platform_store/topic_log.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace berylcrank::standin {

/** Implements the calls of the platform's store that berylcrank uses, and a control interface for tests.

    - `POST /control?outage=none|refuse|silent|lost`: sets a fault. `refuse` responds with 503, `silent` does
      not respond, `lost` appends the records and closes the connection without a response.
    - `POST /control?trim=TOPIC`: removes the history of a topic.
    - `POST /control?backup=take`: stores a copy of all topics.
    - `POST /control?backup=restore`: replaces all topics by that copy and increases the epoch.
    - `POST /put?topic=T&key=K`: writes a keyed record; an empty body removes the key.
    - `GET /calls`: the number of calls to the store so far.

    All responses of the store carry the epoch in `Store-Era`. The first one is 1.
*/
class store_handler final : public request_handler {
public:
    explicit store_handler(boost::asio::io_context& io) : io_(io) {}

    void handle(const exchange_ptr& it) override;

private:
    void respond(const exchange_ptr& it, int status, std::string_view body = {}) const;
    void control(const exchange_ptr& it);
    void restore();
    void append(const exchange_ptr& it);
    void read(const exchange_ptr& it, bool may_wait);
    void newest(const exchange_ptr& it);
    void put(const exchange_ptr& it);
    void complete_long_polls(const std::string& topic);

    boost::asio::io_context& io_;
    std::map<std::string, topic_log> topics_;
    std::map<std::string, topic_log> backup_;
    std::uint64_t epoch_{1};
    std::multimap<std::string, exchange_ptr> long_polls_; ///< By topic.
    std::vector<exchange_ptr> held_exchanges_;            ///< Received during a "silent" outage.
    std::string outage_{"none"};
    std::uint64_t calls_{0};
};

} // namespace berylcrank::standin
