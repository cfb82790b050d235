@0xe4a1c07d93f6b825;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("monsoongrade::schema");

# Requests that began to run at a host, told in datagrams to the hosts that keep the counts. Each
# count only grows, so datagrams may be lost, repeated and overtake each other.

struct UsageNews {
  # One life of the host that counted.
  reporter @0 :Text;
  windows @1 :List(Window);

  struct Window {
    number @0 :Int64;
    counts @1 :List(Count);
  }

  struct Count {
    workspace @0 :Text;
    total @1 :UInt32;
  }
}
