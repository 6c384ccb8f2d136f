#pragma once

#include "modules/berylcrank_platform/http/http_transfer.h"
#include "modules/berylcrank_platform/log/log_service.h"

#include <string>

namespace berylcrank {

/** The platform's log over HTTP. Safe for several threads; a read does not delay an append.

    `POST /append` takes a record and answers `{"offset":n}`. `GET /read?from=n&max=m&wait_ms=w` answers
    `{"first":n,"next":n,"records":[{"offset":n,"data":"<base64>"}]}`.
    @see log_service
*/
class http_log_service final : public log_service {
public:
    struct options {
        std::string address;           ///< IP address and port.
        millis response_timeout{1000}; ///< A read that takes this much longer than its wait is silent.
        millis append_timeout{3000};   ///< An append that takes longer is silent.
    };

    explicit http_log_service(options it) : options_(std::move(it)) {}

    boost::leaf::result<std::uint64_t> append(std::string_view data) override;
    boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t max, millis wait) override;
    void cancel() override;

private:
    options options_;
    http_transfer reads_;
    http_transfer appends_;
};

} // namespace berylcrank
