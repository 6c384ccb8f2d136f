#pragma once

#include "modules/berylcrank_report/burn/burn_report.h"

#include <string>

namespace berylcrank {

/** Counts of one service as the JSON text of `GET /burn`. @see burn_report::add_node */
std::string write_service_burn(const service_burn& it);

/** The report for people. Rates without a unit are multiples of the allowed rate. */
std::string write_burn_text(const burn_report& it);

/** The report for programs, as one JSON object. */
std::string write_burn_json(const burn_report& it);

/** The report as one HTML page with plots and no outside references. */
std::string write_burn_html(const burn_report& it);

} // namespace berylcrank
