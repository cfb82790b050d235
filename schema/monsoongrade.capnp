@0xd5f1c2a7b3e49081;

using Cxx = import "/capnp/c++.capnp";
using import "peer.capnp".Peer;
$Cxx.namespace("monsoongrade::schema");

# The protocol between monsoongrade's own processes. Every connection starts with hello, which
# turns away other clusters and other protocol versions.

const protocolVersion :UInt32 = 2;

interface Daemon {
  hello @0 (cluster :Text, version :UInt32, daemon :Text) -> (result :HelloResult);
}

struct HelloResult {
  code @0 :Int32;            # numbered result code, 0 is welcome
  incarnation @1 :Text;      # id of this life of the answering daemon
  slots @2 :SlotService;     # null where the daemon is no scheduler
  peer @3 :Peer;
}

struct SlotAsk {
  request @0 :Text;
  pool @1 :Text;
  className @2 :Text;
  workspace @3 :Text;
  prefix @4 :UInt64;
  waitedMicros @5 :UInt64;
  avoid @6 :List(Text);
  # How long the caller stays, from when the request came; 0 where it did not say.
  patienceMicros @7 :UInt64;
}

struct SlotDecision {
  union {
    granted :group {
      grant @0 :UInt64;
      endpoint @1 :Text;
    }
    refused :group {
      code @2 :Int32;
      retryAfterMillis @3 :UInt32;
    }
    moved @4 :Void;          # not decided here any more: ask the next scheduler
  }
}

struct SlotRelease {
  grant @0 :UInt64;
  tokens @1 :Int64;
  heldMicros @2 :UInt64;
  outcome @3 :UInt8;
}

struct HeldGrant {
  ask @0 :SlotAsk;
  endpoint @1 :Text;
}

# The slots of one scheduler, for the one router that said hello on this connection. When the
# connection breaks or is silent for too long, what the router held is freed.
interface SlotService {
  # Returns when the decision is made.
  ask @0 (ask :SlotAsk) -> (decision :SlotDecision);
  release @1 (pool :Text, release :SlotRelease) -> ();
  # Says that the router asks here from now on for the pool. Counts grants of an earlier
  # scheduler that the router still holds; gives their new numbers, 0 where one is not counted.
  adopt @2 (pool :Text, held :List(HeldGrant)) -> (grants :List(UInt64));
  # Withdraws an ask: its call returns as refused, unless a grant is already on its way; that
  # one is released like any other.
  cancel @3 (pool :Text, request :Text) -> ();
  # A sign of life. The first is answered at once; of the later ones the last is kept open until
  # the next one comes, the scheduler wants a sign of life, or it leaves.
  ping @4 () -> (leaving :Bool);
  # Takes back what adopt said: the router asks elsewhere for the pool. What it holds here stays
  # counted until it is released.
  detach @5 (pool :Text) -> ();
}
