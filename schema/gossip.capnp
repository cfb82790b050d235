@0xd3b1f0a9c47e2586;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("monsoongrade::schema");

# What entry hosts tell each other in datagrams, several times a second.

struct GossipPeer {
  ip @0 :Text;
  failureDomain @1 :Text;
  state @2 :State;
  # Milliseconds since the host itself said this.
  ageMs @3 :UInt32;
  # Milliseconds since the host's process started, when it said this.
  uptimeMs @4 :UInt64;
  # Thousandths of a processor core that the host may use.
  millicores @5 :UInt32;
  # Milliseconds for which the host has had the platform's store without a break; 0 without it.
  storeForMs @6 :UInt64;
  # The platform's store turned the host away a moment ago, though other hosts have it.
  storeRefused @7 :Bool;
  # Fencing token of the duties' lease while the host holds it; 0 otherwise.
  dutyToken @8 :UInt64;
  # Pools to whose endpoints the host can open no connection.
  unreachablePools @9 :List(Text);

  enum State {
    serving @0;
    waiting @1;
    leaving @2;
    # Declared by a host that watches it.
    lost @3;
  }
}

# A request under which an endpoint crashed.
struct CrashNews {
  kind @0 :Kind;
  # The request; not of endpointAnswered.
  workspace @1 :Text;
  digest @2 :UInt64;
  # Not of completed.
  endpoint @3 :Text;
  incarnation @4 :Int64;
  # Milliseconds since it happened; of endpointAnswered, since the time before which crashes of the
  # endpoint count against no request.
  ageMs @5 :UInt64;

  # Of a prompt part that requests share, its position, from 1; 0 for a whole request.
  partPosition @6 :UInt16;

  enum Kind {
    crashed @0;
    completed @1;
    # The endpoint answered a request that was sent later, so it had not crashed, or it crashed
    # because it had to reject too many.
    endpointAnswered @2;
  }
}

# The limits that an endpoint named in an answer.
struct LimitNews {
  endpoint @0 :Text;
  incarnation @1 :Int64;
  # False: the endpoint answered without a limit.
  isLimited @2 :Bool;
  requestsPerSecond @3 :Float64;
  # Milliseconds since the answer.
  ageMs @4 :UInt64;
  # The endpoint survives only so many rejections for want of room a second.
  isBrittle @5 :Bool;
  rejectionsPerSecond @6 :Float64;
}

# An endpoint said in an answer that it is leaving.
struct LeavingNews {
  endpoint @0 :Text;
  incarnation @1 :Int64;
  # Milliseconds since the answer.
  ageMs @2 :UInt64;
}

struct GossipMessage {
  sender @0 :GossipPeer;
  # Other hosts that the sender has heard of.
  known @1 :List(GossipPeer);
  # The sender's time of day, in milliseconds since 1970.
  wallMs @2 :Int64;
  crashes @3 :List(CrashNews);
  limits @4 :List(LimitNews);
  # The receiver shall answer: the sender watches it and has missed its heartbeats.
  isProbe @5 :Bool;
  leaving @6 :List(LeavingNews);
}
