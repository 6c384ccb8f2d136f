#pragma once

#include "modules/berylcrank_membership/message/gossip_message.h"
#include "modules/berylcrank_once/message/order_message.h"
#include "modules/berylcrank_routing/cold/permit.h"
#include "peer.capnp.h"

#include <span>
#include <vector>

namespace berylcrank {

/** @name Conversion between plain structs and the generated messages of schema/peer.capnp.

    Decoding throws `kj::Exception` if a message is malformed or exceeds the reader's limits. Each field is
    read once, because every read counts against the traversal limit. Unknown enumerators and durations out of
    range become the safest value: `may_have_run`, `unused`, zero or the longest duration.
*/
///@{
void encode(const peer_info& info, schema::PeerInfo::Builder out);
peer_info decode(schema::PeerInfo::Reader reader);
void encode(const warm_report& report, schema::WarmNews::Builder out);
warm_report decode(schema::WarmNews::Reader reader);
void encode(const gossip_message& message, schema::Gossip::Builder out);
gossip_message decode(schema::Gossip::Reader reader);
void encode(const order_request& order, schema::OrderRequest::Builder out);
order_request decode(schema::OrderRequest::Reader reader);
void encode(const order_response& response, schema::OrderAnswer::Builder out);
order_response decode(schema::OrderAnswer::Reader reader);
void encode(const permit_response& response, schema::PermitAnswer::Builder out);
permit_response decode(schema::PermitAnswer::Reader reader);
void encode(const permit_release& release, schema::Peer::ReleasePermitParams::Builder out);
permit_release decode(schema::Peer::ReleasePermitParams::Reader reader);
void encode(const crash_report& report, schema::CrashNews::Builder out);
crash_report decode(schema::CrashNews::Reader reader);
std::vector<crash_report> decode(capnp::List<schema::CrashNews>::Reader reports);
std::string decode(capnp::Data::Reader data);
capnp::Data::Reader as_data(const std::string& bytes);
///@}

} // namespace berylcrank
