@0x9c52e07b1fd3a684;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("monsoongrade::schema");

# Datagrams between hosts about the software versions at which streams began. Each stands alone and
# may be lost: a query without a response is repeated once.

struct StreamBegun {
  workspace @0 :Text;
  # The client attempt that brought the first event.
  request @1 :Text;
  version @2 :Text;
}

struct StreamVersionQuery {
  # Chosen by the asking host, which gets it back.
  number @0 :UInt64;
  workspace @1 :Text;
  request @2 :Text;
  pool @3 :Text;
}

struct StreamVersionResponse {
  number @0 :UInt64;
  # False: the host does not know the stream.
  isKnown @1 :Bool;
  version @2 :Text;
  # What the host knows of the pool's versions, for a stream that no host knows.
  history @3 :PoolHistory;
  # Of oneVersion.
  poolVersion @4 :Text;

  enum PoolHistory {
    # The host has not listed the pool for long enough, or not lately.
    unknown @0;
    oneVersion @1;
    severalVersions @2;
  }
}

struct StreamVersionMessage {
  union {
    begun @0 :StreamBegun;
    query @1 :StreamVersionQuery;
    response @2 :StreamVersionResponse;
  }
}
