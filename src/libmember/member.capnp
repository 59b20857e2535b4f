@0xe1b59f0c2d7346a8;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphorhoist::member_wire");

struct Endpoint {
  service @0 :Text;
  ip @1 :UInt32;
  port @2 :UInt16;
  state @3 :UInt8;
  slots @4 :UInt32;
}

struct Update {
  ip @0 :UInt32;
  port @1 :UInt16;
  state @2 :UInt8;
  hasEntry @3 :Bool;
  draining @4 :Bool;
  incarnation @5 :UInt64;
  sequence @6 :UInt64;
  epoch @7 :UInt64;
  number @8 :UInt64;
  lowestSchema @9 :UInt32;
  highestSchema @10 :UInt32;
  dataCentre @11 :Text;
  region @12 :Text;
  refusal @13 :Text;
  endpoints @14 :List(Endpoint);
}

struct Key {
  ip @0 :UInt32;
  port @1 :UInt16;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
}

struct VersionSet {
  dataCentre @0 :Text;
  epoch @1 :UInt64;
  number @2 :UInt64;
  roster @3 :UInt64;
  bits @4 :Data;
}

struct Age {
  dataCentre @0 :UInt32;
  ageMs @1 :UInt32;
}

struct Message {
  kind @0 :UInt8;
  pageEnd @1 :Bool;
  hasHeadAge @2 :Bool;
  senderPort @3 :UInt16;
  senderIp @4 :UInt32;
  senderIncarnation @5 :UInt64;
  epoch @6 :UInt64;
  number @7 :UInt64;
  headAgeMs @8 :UInt32;
  probe @9 :UInt32;
  targetIp @10 :UInt32;
  targetPort @11 :UInt16;
  bucketMask @12 :UInt32;
  mesh @13 :Text;
  senderDataCentre @14 :Text;
  # SHA-256 as 32 bytes, or empty.
  hash @15 :Data;
  ages @16 :List(Age);
  dataCentre @17 :Text;
  buckets @18 :List(UInt64);
  keys @19 :List(Key);
  updates @20 :List(Update);
  versionSets @21 :List(VersionSet);
}
