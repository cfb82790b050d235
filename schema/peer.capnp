@0xc3a91f5be07d4266;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("monsoongrade::schema");

# What routers and schedulers tell one another: membership news, and the configuration.

struct PeerMember {
  host @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  life @3 :UInt64;
  refutation @4 :UInt32;
  role @5 :UInt8;
  health @6 :UInt8;
  leaving @7 :Bool;
}

struct PeerEndpointMark {
  host @0 :Text;
  epoch @1 :UInt64;
  state @2 :UInt8;
}

struct PeerNews {
  kind @0 :UInt8;
  from @1 :PeerMember;
  sequence @2 :UInt64;
  generation @3 :UInt64;
  digest @4 :UInt64;
  bucketDigests @5 :List(UInt64);
  buckets @6 :UInt32;
  members @7 :List(PeerMember);
  endpoints @8 :List(PeerEndpointMark);
}

struct ConfigurationContent {
  hash @0 :Text;
  text @1 :Data;
}

struct KeyQuestion {
  holder @0 :Text;           # id of the life of the router that is asked
  workspace @1 :Text;
  key @2 :Text;
  fingerprint @3 :Text;
}

struct KeyHeader {
  name @0 :Text;
  value @1 :Text;
}

struct KeyReply {
  kind @0 :UInt8;
  status @1 :UInt16;
  headers @2 :List(KeyHeader);
  body @3 :Data;
}

interface Peer {
  # Returns what the receiver has to say to the sender at once.
  tell @0 (news :PeerNews) -> (answers :List(PeerNews));
  # The configuration in force, if its generation is above the given one; an empty manifest if
  # not. Contents whose hashes the caller names are left out.
  fetchConfiguration @1 (above :UInt64, known :List(Text))
      -> (manifest :Text, contents :List(ConfigurationContent));
  # What became of an idempotency key that this router holds. Returns when its run has ended.
  askKey @2 (question :KeyQuestion) -> (reply :KeyReply);
}
