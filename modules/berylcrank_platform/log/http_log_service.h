#pragma once

#include "modules/berylcrank_platform/http/http_transfer.h"
#include "modules/berylcrank_platform/log/log_service.h"

#include <string>

namespace berylcrank {

/** HTTP client of the platform's log service. Safe for concurrent use; reads do not block appends.

    `POST /append` takes a record as its body and returns `{"offset":n}`. `GET /read?from=n&max=m&wait_ms=w`
    returns `{"first":n,"next":n,"records":[{"offset":n,"data":"<base64>"}]}`.
    @see log_service
*/
class http_log_service final : public log_service {
public:
    struct options {
        std::string address;           ///< IP address and port.
        millis response_timeout{1000}; ///< Timeout of a read, in addition to its `wait`.
        millis append_timeout{3000};   ///< Timeout of an append.
    };

    explicit http_log_service(options opts) : options_(std::move(opts)) {}

    boost::leaf::result<std::uint64_t> append(std::string_view data) override;
    boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t max, millis wait) override;
    void cancel() override;

private:
    options options_;
    http_transfer reads_;
    http_transfer appends_;
};

} // namespace berylcrank
