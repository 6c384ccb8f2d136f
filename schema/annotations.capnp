@0xb5d1a0c1f2e34001;
# Annotations that the schema-driven loader reads from settings and ticket schemas.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("berylcrank::schema");

annotation unit @0xb5d1a0c1f2e34002 (field) :Text;
# Unit of a numeric value, for messages and documentation: ms, bytes, percent, requests, ...

annotation least @0xb5d1a0c1f2e34003 (field) :Int64;
# Smallest allowed value of a numeric field, or the smallest allowed length of a text or list.

annotation most @0xb5d1a0c1f2e34004 (field) :Int64;
# Largest allowed value of a numeric field, or the largest allowed length of a text or list.

annotation required @0xb5d1a0c1f2e34005 (field) :Void;
# The key must be present; other fields take their schema default.

annotation doc @0xb5d1a0c1f2e34006 (field) :Text;
# One line for messages and for the generated settings page.

annotation format @0xb5d1a0c1f2e34007 (field) :Text;
# Further form of a text: "ip-port" (IPv4:port or [IPv6]:port), "listen" (the same, port 0 allowed) or "name" ([a-z0-9][a-z0-9.-]*).
