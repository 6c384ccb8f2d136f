#pragma once

#include "modules/berylcrank_report/burn/burn_report.h"

#include <string>

namespace berylcrank {

/** Formats the counts of one service as JSON for `GET /burn`. @see burn_report::add_node */
std::string write_service_burn(const service_burn& service);

/** Formats the report as text. Burn rates are multiples of the allowed rate, e.g. "2.00x". */
std::string write_burn_text(const burn_report& report);

/** Formats the report as one JSON object. */
std::string write_burn_json(const burn_report& report);

/** Formats the report as one HTML page with charts and without references to other files. */
std::string write_burn_html(const burn_report& report);

} // namespace berylcrank
