@0xb7e6a9d2105fc834;

using Cxx = import "/capnp/c++.capnp";
using Gossip = import "gossip.capnp";
$Cxx.namespace("monsoongrade::schema");

# Datagrams between a host and the one that places requests for all. Each stands alone and may be
# lost: an unanswered ask is decided by the asking host, and lost news is forgotten after a time.

struct PlacementAsk {
  number @0 :UInt64;
  pool @1 :Text;
  sharedPart @2 :Text;
  promptTokens @3 :UInt32;
  ownTokens @4 :UInt32;
  tier @5 :UInt32;
  tried @6 :List(Text);
  failureDomain @7 :Text;
  # Milliseconds from now.
  targetInMs @8 :UInt32;
  givenUpInMs @9 :UInt32;
  needsShortPauses @10 :Bool;
  poolServesShortPauses @11 :Bool;
  # Endpoints that have asked the asking host for a pause.
  paused @12 :List(Text);
  # The stream began at this software version and may go on at it only.
  isVersionBound @13 :Bool;
  softwareVersion @14 :Text;
  # A limit that the last choice for this request was not counted against.
  limit @15 :Gossip.LimitNews;
  # The part of each endpoint's limit that the asking host lends, 0 to 1.
  lentShare @16 :Float32;
  # Empty if the request belongs to none.
  workspace @17 :Text;
  # The same for all client attempts of a request; 0 if unknown.
  returnKey @18 :UInt64;
  # The request runs no model.
  isPlain @19 :Bool;
}

struct PlacementAnswer {
  number @0 :UInt64;
  # Empty if no endpoint takes the request.
  endpoint @1 :Text;
  tokensToRead @2 :UInt32;
  # No endpoint yet: another answer follows.
  waiting @3 :Bool;
  # Refused because of a long queue, with the time after which the client may come back.
  refused @4 :Bool;
  comeBackInMs @5 :UInt32;
  # The placing host knows a limit of the endpoint and has counted this request against it.
  isLimited @6 :Bool;
  # Expected time from sending the request to its first event; 0 if unknown.
  expectedFirstEventMs @7 :UInt32;
  # With refused: room is booked for the request at comeBackInMs.
  isReturnScheduled @8 :Bool;
  # Endpoint from which the chosen one copies cached prompt parts; empty: none.
  cacheSource @9 :Text;
  # The placing host knows that the endpoint survives few rejections and counts its open requests.
  isWithinSlots @10 :Bool;
}

# From a host with waiting requests: are they still in the queue?
struct StillWaiting {
  numbers @0 :List(UInt64);
}

# The reply to each StillWaiting, also if the list is empty: requests that are in no queue here.
struct NotWaiting {
  numbers @0 :List(UInt64);
}

struct PlacementNews {
  number @0 :UInt64;
  news @1 :News;

  enum News {
    firstEvent @0;
    completed @1;
    endpointFailed @2;
    endpointSilent @3;
    withdrawn @4;
    endpointPaused @5;
  }
}

# From a host that has asked nothing lately.
struct ShareLoan {
  # As in PlacementAsk.
  lentShare @0 :Float32;
  # Of limits in pools that are divided among cells, not in the others.
  isOfCell @1 :Bool;
}

# From the placing host to those that would take over.
struct CachedParts {
  parts @0 :List(Part);

  struct Part {
    part @0 :Text;
    endpoint @1 :Text;
    incarnation @2 :Int64;
  }
}

# From the placing host to those that would take over.
struct EndpointSpeeds {
  speeds @0 :List(Speed);

  struct Speed {
    endpoint @0 :Text;
    incarnation @1 :Int64;
    # Prefill speed relative to the mean of the pool.
    relativeSpeed @2 :Float32;
    samples @3 :UInt32;
    # Milliseconds since the newest sample.
    ageMs @4 :UInt32;
  }
}

struct PlacementMessage {
  union {
    ask @0 :PlacementAsk;
    answer @1 :PlacementAnswer;
    news @2 :PlacementNews;
    cachedParts @3 :CachedParts;
    stillWaiting @4 :StillWaiting;
    notWaiting @5 :NotWaiting;
    loan @6 :ShareLoan;
    endpointSpeeds @7 :EndpointSpeeds;
  }
}
