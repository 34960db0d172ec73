@0xe81c5d7420b9af63;
# Messages about the servers that have begun streams, over UDP, and the records about them
# in the store.

struct Origin {
  version @0 :Text;             # Of the software of the server.
  server @1 :Text;
  startedMs @2 :Int64;
  connectedAgeMs @3 :UInt32;    # Since the connection to the server was opened.
}

struct OriginGroup {
  # Streams that began at one version or, if that is not certain, at one process.
  version @0 :Text;
  streams @1 :Data;             # Keys of 12 bytes.
  isCertain @2 :Bool;           # If not, the process must be confirmed:
  server @3 :Text;
  startedMs @4 :Int64;
  connectedAgeMs @5 :UInt32;    # Of the newest of the connections.
}

struct OriginBatch {
  groups @0 :List(OriginGroup);
  writtenMs @1 :Int64;          # Unix time.
}

struct SoleVersion {
  service @0 :Text;
  version @1 :Text;
}

struct VersionHistory {
  position @0 :Int64;           # In the topic of servers.
  services @1 :List(SoleVersion);
}

struct OriginMessage {
  stream @0 :Text;              # Id of the caller's attempt with the first event.
  union {
    record :group {
      origin @1 :Origin;
    }
    query :group {
      number @2 :UInt64;        # Chosen by the requesting host's process.
    }
    reply :group {
      number @3 :UInt64;
      origin @4 :Origin;
    }
    batch @5 :OriginBatch;      # For the store; the stream is empty.
  }
}
