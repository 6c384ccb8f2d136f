#pragma once

#include "modules/berylcrank_config/ticket/ticket.h"

#include <ticket.capnp.h>

namespace berylcrank {

/** Convert between plain structs and the types of schema/ticket.capnp. The read functions do not check
    ranges.
    @see check_struct */
service_config read_service(schema::Service::Reader in);
failure_domain_config read_failure_domain(schema::FailureDomain::Reader in);
upstream_config read_upstream(schema::Upstream::Reader in);
object_key read_removal(schema::Removal::Reader in);
ticket read_ticket(schema::Ticket::Reader in);

void write_service(const service_config& service, schema::Service::Builder out);
void write_failure_domain(const failure_domain_config& domain, schema::FailureDomain::Builder out);
void write_upstream(const upstream_config& upstream, schema::Upstream::Builder out);
void write_removal(const object_key& key, schema::Removal::Builder out);
void write_ticket(const ticket& change, schema::Ticket::Builder out);

} // namespace berylcrank
