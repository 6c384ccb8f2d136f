#pragma once

/** @file
    Module berylcrank_report: service-level objectives, error budgets and their burn rates.

    Areas: burn (counting in a node, merging over nodes, text, JSON and HTML).

    Dependencies: berylcrank_core, nlohmann-json, Abseil.
    The windows and thresholds are the multi-window, multi-burn-rate alerts of the Site Reliability Workbook,
   chapter 5.
*/

#include "modules/berylcrank_report/burn/burn_counter.h"
#include "modules/berylcrank_report/burn/burn_event.h"
#include "modules/berylcrank_report/burn/burn_report.h"
#include "modules/berylcrank_report/burn/burn_writer.h"
