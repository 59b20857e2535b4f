@0xc3a8f1de52b7946a;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("camphorhoist::rpc");

struct Version {
  epoch @0 :UInt64;
  number @1 :UInt64;
}

struct CallId {
  origin @0 :UInt64;
  counter @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct CallRequest {
  id @0 :CallId;
  # Incarnation of the node that should run the call.
  targetIncarnation @1 :UInt64;
  service @2 :Text;
  # Address of the upstream, as announced by the upstream.
  endpoint @3 :Text;
  method @4 :Text;
  target @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  # Time left until the caller's deadline.
  timeoutMs @8 :UInt32;
  maxQueueMs @9 :UInt32;
  longWork @10 :Bool;
  idempotent @11 :Bool;
  # Number of mesh hops before this one.
  depth @12 :UInt32;
}

enum Outcome {
  answered @0;
  notRun @1;
  unknown @2;
}

struct CallResult {
  outcome @0 :Outcome;
  # Why the call was not run or its outcome is unknown.
  reason @1 :Text;
  # Load of the upstream when the call finished.
  queueLength @2 :UInt32;
  running @3 :UInt32;
  limit @4 :UInt32;
  queueMicros @5 :UInt32;
  serviceMicros @6 :UInt32;
  # If set, the following fields hold the complete response and the sink is not used.
  inlineAnswer @7 :Bool;
  status @8 :UInt16;
  headers @9 :List(Header);
  body @10 :Data;
}

interface AnswerSink {
  # Receives a large response: one head, chunks, one end. A response without `end` is incomplete.
  head @0 (status :UInt16, headers :List(Header)) -> ();
  chunk @1 (data :Data) -> stream;
  end @2 () -> ();
}

struct RecordChange {
  kind @0 :Text;
  name @1 :Text;
  # Configuration number at which the record was last changed.
  changedAt @2 :UInt64;
  # Record as JSON text; empty for a removal.
  body @3 :Text;
}

interface Node {
  # Must be the first call on a connection. Fails if the mesh names differ.
  hello @0 (mesh :Text, address :Text, incarnation :UInt64)
      -> (mesh :Text, address :Text, incarnation :UInt64);
  ping @1 (payload :Data) -> (payload :Data);

  # Dropping the promise of the call cancels the call.
  call @2 (request :CallRequest, sink :AnswerSink) -> (result :CallResult);

  enum CallState {
    # The call has not started on this node and can no longer start.
    voided @0;
    # The call has started and is still running.
    started @1;
    # The call has finished; its response was sent over the connection of the original request.
    finished @2;
    # Not known: the call was sent to another incarnation of the node.
    unknown @3;
  }
  resolveCall @3 (id :CallId, targetIncarnation :UInt64)
      -> (state :CallState);

  # Changes from the given version and hash, those of the requesting node, to the current version of
  # this node. If `full` is set, `changes` holds all records, because this node does not have the
  # requested version.
  pullConfig @4 (version :Version, hash :Text)
      -> (version :Version, hash :Text, full :Bool, changes :List(RecordChange));
  # Highest version that the node has seen, and the version last reported to it for `address`.
  floor @5 (address :Text) -> (highest :Version, reported :Version);
}
