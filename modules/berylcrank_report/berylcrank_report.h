#pragma once

/** @file
    Module berylcrank_report: service-level objectives, error budgets and their burn rates, and the timeline
    of a request.

    Areas: burn (counters of a node, report over several nodes, output as text, JSON and HTML), timeline (log
    events of one request).

    Dependencies: berylcrank_core, nlohmann-json, Abseil, Boost.LEAF.
    The windows and thresholds follow the multiwindow, multi-burn-rate alerts of the Site Reliability
    Workbook, chapter 5.
*/

#include "modules/berylcrank_report/burn/burn_counter.h"
#include "modules/berylcrank_report/burn/burn_event.h"
#include "modules/berylcrank_report/burn/burn_report.h"
#include "modules/berylcrank_report/burn/burn_writer.h"
