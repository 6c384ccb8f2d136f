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
void encode(const peer_info& it, schema::PeerInfo::Builder out);
peer_info decode(schema::PeerInfo::Reader it);
void encode(const warm_report& it, schema::WarmNews::Builder out);
warm_report decode(schema::WarmNews::Reader it);
void encode(const gossip_message& it, schema::Gossip::Builder out);
gossip_message decode(schema::Gossip::Reader it);
void encode(const order_request& it, schema::OrderRequest::Builder out);
order_request decode(schema::OrderRequest::Reader it);
void encode(const order_response& it, schema::OrderAnswer::Builder out);
order_response decode(schema::OrderAnswer::Reader it);
void encode(const permit_answer& it, schema::PermitAnswer::Builder out);
permit_answer decode(schema::PermitAnswer::Reader it);
void encode(const permit_release& it, schema::Peer::ReleasePermitParams::Builder out);
permit_release decode(schema::Peer::ReleasePermitParams::Reader it);
void encode(const crash_report& it, schema::CrashNews::Builder out);
crash_report decode(schema::CrashNews::Reader it);
std::vector<crash_report> decode(capnp::List<schema::CrashNews>::Reader it);
std::string decode(capnp::Data::Reader it);
capnp::Data::Reader as_data(const std::string& it);
///@}

} // namespace berylcrank
