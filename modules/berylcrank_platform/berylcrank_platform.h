#pragma once

/** @file
    Module berylcrank_platform: interfaces to the log service and the VM list of the platform, and their HTTP
    implementations.

    Areas: http (blocking HTTP client), log (log service), vm_list (VM list).

    Dependencies: berylcrank_core, berylcrank_http, libcurl, nlohmann-json, Boost.LEAF.
*/

#include "modules/berylcrank_platform/log/http_log_service.h"
#include "modules/berylcrank_platform/log/log_service.h"
#include "modules/berylcrank_platform/vm_list/http_vm_list.h"
#include "modules/berylcrank_platform/vm_list/vm_list.h"
