#pragma once

#include "modules/berylcrank_gateway/server/exchange.h"
#include "standins/platform_store/topic_log.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace berylcrank::standin {

/** Answers the calls of the platform's store that berylcrank uses, and a test's wishes for faults.

    `POST /control?outage=none|refuse|silent|lost` sets a fault, `POST /control?trim=TOPIC` drops a topic's
   history, `POST /put?topic=T&key=K` writes a keyed record (an empty body drops the key), `GET /calls` counts
   calls.
*/
class store_handler final : public request_handler {
public:
    explicit store_handler(boost::asio::io_context& io) : io_(io) {}

    void handle(const exchange_ptr& it) override;

private:
    void control(const exchange_ptr& it);
    void append(const exchange_ptr& it);
    void read(const exchange_ptr& it, bool may_wait);
    void newest(const exchange_ptr& it);
    void put(const exchange_ptr& it);
    void answer_waiting(const std::string& topic);

    boost::asio::io_context& io_;
    std::map<std::string, topic_log> topics_;
    std::multimap<std::string, exchange_ptr> waiting_; // by topic
    std::vector<exchange_ptr> silent_;
    std::string outage_{"none"};
    std::uint64_t calls_{0};
};

} // namespace berylcrank::standin
