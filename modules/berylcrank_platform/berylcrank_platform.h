#pragma once

/** @file
    Module berylcrank_platform: the platform's log service and VM list as abstract interfaces, with HTTP
   adapters.

    Areas: http (blocking calls), log, vm_list.

    Dependencies: berylcrank_core, libcurl, nlohmann-json, Boost.LEAF.
*/

#include "modules/berylcrank_platform/log/http_log_service.h"
#include "modules/berylcrank_platform/log/log_service.h"
#include "modules/berylcrank_platform/vm_list/http_vm_list.h"
#include "modules/berylcrank_platform/vm_list/vm_list.h"
