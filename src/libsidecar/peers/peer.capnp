@0xd1b7c93ae5604f28;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphorhoist::peer");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct CallId {
  origin @0 :UInt64;
  counter @1 :UInt64;
}

struct Load {
  running @0 :UInt16;
  queued @1 :UInt16;
  limit @2 :UInt16;
  serviceMicros @3 :UInt32;
  waitMicros @4 :UInt32;
  # Time that a large response waits for the link.
  deliveryMicros @5 :UInt32;
  # Time between two requests at the rate that the upstream has named; 0 without such a rate.
  requestIntervalMicros @6 :UInt32;
  # Time until that rate permits a call that is offered now.
  permitMicros @7 :UInt32;
  # Service times here relative to the means that the senders of the calls have observed.
  relativeServiceTime @8 :Float32 = 1;
  # Share of recent calls that the upstream refused or failed.
  failureShare @9 :Float32;
}

# One run of the process of an upstream.
struct Incarnation {
  instance @0 :Text;
  # Milliseconds since the Unix epoch.
  startedMs @1 :Int64;
  # The upstream has reported when it started.
  hasStart @2 :Bool;
}

# Status of the upstream of a sidecar.
struct Upstream {
  # Empty if none is known.
  service @0 :Text;
  instance @1 :Text;
  # Accepts new calls.
  ready @2 :Bool;
  warmUpMicros @3 :UInt32;
  load @4 :Load;
  startedMs @5 :Int64;
  # `startedMs` is known.
  hasStart @6 :Bool;
  # Incarnations of upstreams on this VM that must get no more calls.
  departures @7 :List(Incarnation);
  # Version of the upstream's software; empty if it was not reported.
  version @8 :Text;
}

# State of a roll-out.
struct Rollout {
  service @0 :Text;
  newVersion @1 :Text;
  periodMicros @2 :UInt64;
  # Time since the order was read first.
  elapsedMicros @3 :UInt64;
  era @4 :Int64;
  revision @5 :Int64;
  firstRevision @6 :Int64;
  deleted @7 :Bool;
  state @8 :UInt8;
  phase @9 :UInt8;
}

struct RolloutUpdate {
  rollout @0 :Rollout;
  # The sender is the writer of the roll-out, and the other fields are its decision.
  hasShare @1 :Bool;
  share @2 :Float64;
  servers @3 :UInt32;
  # 0: until the next decision.
  validForMicros @4 :UInt32;
}

struct RouteCounts {
  route @0 :UInt64;
  responses @1 :UInt64;
  failures @2 :UInt64;
  timed @3 :UInt64;
  logTimeSum @4 :Float64;
  logTimeSquares @5 :Float64;
}

# What the server of the sender has done during a roll-out.
struct RolloutCounts {
  service @0 :Text;
  version @1 :Text;
  generation @2 :UInt64;
  requests @3 :UInt64;
  active @4 :UInt32;
  routes @5 :List(RouteCounts);
}

# The sender sends requests of the service only to the target version.
struct RolloutTold {
  service @0 :Text;
  newVersion @1 :Text;
}

# First frame in both directions.
struct Hello {
  node @0 :Text;
  # Identifies the process run of the sender.
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  # Address at which the sender accepts connections of other sidecars.
  address @3 :Text;
  configVersion @4 :UInt64;
  upstream @5 :Upstream;
  # The connection carries calls with large responses.
  bulk @6 :Bool;
  storeLost @7 :Bool;
  # Last status of the receiver's upstream that the sender knows.
  receiverUpstream @8 :Upstream;
  # Newest era of the store that the sender has seen; 0 if none.
  storeEra @9 :Int64;
  # The sender reads packed frames.
  acceptsPacked @10 :Bool;
  rollouts @11 :List(Rollout);
  # Organisations that the sender issues permits of.
  issued @12 :List(Text);
}

# State of the store as seen by the sender.
struct StoreStatus {
  # Newest configuration version that the sender has read.
  configVersion @0 :UInt64;
  # The store does not respond to the sender.
  lost @1 :Bool;
  # Newest era of the store that the sender has seen; 0 if none.
  era @2 :Int64;
}

# The body follows the message of the frame.
struct Offer {
  id @0 :CallId;
  service @1 :Text;
  instance @2 :Text;
  requestId @3 :Text;
  method @4 :Text;
  target @5 :Text;
  headers @6 :List(Header);
  # Service on the VM where the request originated.
  originService @7 :Text;
  timeLeftMicros @8 :UInt32;
  # Negative once the objective is missed.
  objectiveLeftMicros @9 :Int32;
  profile @10 :UInt64;
  priority @11 :Int32;
  nested @12 :Bool;
  idempotent @13 :Bool;
  # Longest predicted wait that the sender accepts.
  maxWaitMicros @14 :UInt32;
  # A large response is expected.
  bulk @15 :Bool;
  # Mean service time of such calls at all servers of the service; 0 if unknown.
  typicalServiceMicros @16 :UInt32;
  # Latency objective of such a call, from the first attempt of its caller.
  objectiveTimeMicros @17 :UInt32;
  # Organisation of the caller; empty if it has none.
  organisation @18 :Text;
  # Hash of the name of the route; 0 if unknown.
  route @19 :UInt64;
}

# The body follows the message of the frame, or arrives in separate parts.
struct Result {
  id @0 :CallId;
  kind @1 :UInt8;
  reason @2 :UInt8;
  reachedUpstream @3 :Bool;
  status @4 :UInt16;
  headers @5 :List(Header);
  load @6 :Load;
  configVersion @7 :UInt64;
  # Size of the body that follows in parts; 0 if the body follows this message.
  partedBytes @8 :UInt32;
  # Time for which the call occupied a slot of the upstream; 0 without a complete response.
  serviceMicros @9 :UInt32;
  # The incarnation that has responded, if it stated that it is about to end.
  leaving @10 :Incarnation;
}

# Next part of the body of a result. The bytes follow the message of the frame.
struct ResultPart {
  id @0 :CallId;
  # No other part follows.
  last @1 :Bool;
}

# Request to the owner of an organisation for permits to send requests of it.
struct PermitRequest {
  organisation @0 :Text;
  wanted @1 :UInt32;
  # The sender is the new owner; the receiver shall issue nothing more.
  takeover @2 :Bool;
}

struct PermitGrant {
  organisation @0 :Text;
  granted @1 :UInt32;
  validForMicros @2 :UInt32;
  # Time until other permits are expected.
  retryAfterMicros @3 :UInt32;
  # Response to a takeover.
  takeover @4 :Bool;
  # The sender was the owner and issues nothing more.
  released @5 :Bool;
  # Share of the rate that the previous owner issued.
  share @6 :Float32;
  # The sender issues no permits of the organisation.
  notOwner @7 :Bool;
  # Time for which the owner issues only a part of the rate.
  cautiousForMicros @8 :UInt32;
}

struct Frame {
  union {
    hello @0 :Hello;
    offer @1 :Offer;
    result @2 :Result;
    cancel @3 :CallId;
    upstream @4 :Upstream;
    ping @5 :UInt64;
    pong @6 :UInt64;
    storeStatus @7 :StoreStatus;
    # The store has no entry for the receiver.
    entryMissing @8 :Void;
    resultPart @9 :ResultPart;
    permitRequest @10 :PermitRequest;
    permitGrant @11 :PermitGrant;
    # Asks for a configuration that is newer than this version.
    configRequest @12 :UInt64;
    # Version of the configuration whose document follows the message of the frame.
    configDocument @13 :UInt64;
    rolloutUpdate @14 :RolloutUpdate;
    rolloutCounts @15 :RolloutCounts;
    rolloutTold @16 :RolloutTold;
  }
}
