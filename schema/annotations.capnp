@0xb5d1a0c1f2e34001;
# Annotations of settings and ticket fields. The loader reads them to validate files.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("berylcrank::schema");

annotation unit @0xb5d1a0c1f2e34002 (field) :Text;
# Unit of a numeric value: ms, bytes, percent, requests, ... Used in error messages and documentation.

annotation least @0xb5d1a0c1f2e34003 (field) :Int64;
# Minimum value of a numeric field, or minimum length of a text or list.

annotation most @0xb5d1a0c1f2e34004 (field) :Int64;
# Maximum value of a numeric field, or maximum length of a text or list.

annotation required @0xb5d1a0c1f2e34005 (field) :Void;
# The key must be present. Other fields have the default value of the schema if their key is absent.

annotation doc @0xb5d1a0c1f2e34006 (field) :Text;
# One-line description for messages and for the generated settings page.

annotation format @0xb5d1a0c1f2e34007 (field) :Text;
# Format of a text: "ip-port" (IPv4:port or [IPv6]:port), "listen" (the same, port 0 allowed) or "name" ([a-z0-9][a-z0-9.-]*).
