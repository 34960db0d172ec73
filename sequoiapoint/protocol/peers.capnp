@0xd2f1a7c3b5e94f60;
# Messages between entry hosts.

struct Member {
  host @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;
  zone @3 :Text;
  address @4 :Text;
  peerAddress @5 :Text;
  isLeaving @6 :Bool;
}

struct ServerLoad {
  server @0 :Text;
  load @1 :UInt32;
}

struct Suspicion {
  fingerprint @0 :Text;
  deaths @1 :List(Text);
}

struct Gossip {
  # Sent over UDP; any list may be empty.
  members @0 :List(Member);
  loads @1 :List(ServerLoad);
  leaving @2 :List(Text);
  suspicions @3 :List(Suspicion);
}

struct Call {
  # Sent over TCP, one call per connection.
  union {
    state @0 :Text;        # The name of the requested stream.
    claim @1 :Claim;
    probe @2 :Probe;
  }
}

struct Claim {
  stream @0 :Text;
  record @1 :Data;         # A key record as JSON, in the format of the log.
  timeoutMs @2 :UInt32;
}

struct Probe {
  server @0 :Text;
  holder @1 :Text;
  isRelease @2 :Bool;
}

struct Reply {
  isOk @0 :Bool;
  reason @1 :Text;
  data @2 :Data;           # JSON: the state of a stream or the entry of a key.
}
