#pragma once

#include "modules/berylcrank_config/ticket/ticket.h"

#include <ticket.capnp.h>

namespace berylcrank {

/** Conversions between plain structs and schema/ticket.capnp. Reading does not check ranges. @see
 * check_struct */
service_config read_service(schema::Service::Reader it);
failure_domain_config read_failure_domain(schema::FailureDomain::Reader it);
upstream_config read_upstream(schema::Upstream::Reader it);
object_key read_removal(schema::Removal::Reader it);
ticket read_ticket(schema::Ticket::Reader it);

void write_service(const service_config& it, schema::Service::Builder out);
void write_failure_domain(const failure_domain_config& it, schema::FailureDomain::Builder out);
void write_upstream(const upstream_config& it, schema::Upstream::Builder out);
void write_removal(const object_key& it, schema::Removal::Builder out);
void write_ticket(const ticket& it, schema::Ticket::Builder out);

} // namespace berylcrank
