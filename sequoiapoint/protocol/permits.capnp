@0x9d3a5be1c07f2846;
# Messages between a host and the permit allocator of a server, over UDP.

enum Outcome {
  granted @0;
  denied @1;
  unavailable @2;
}

struct PermitMessage {
  number @0 :UInt64;          # Chosen by the requesting host's process.
  host @1 :Text;              # The sender.
  union {
    request :group {
      server @2 :Text;
      startedMs @3 :Int64;
      zone @4 :Text;          # The server's zone.
      caller @5 :UInt64;      # Identifies the caller's request when it comes back.
      maxWaitMs @6 :UInt32;   # 0 to reserve no permit.
      limitPerS @10 :Float64; # The limit that the host knows of.
      limitAgeMs @11 :UInt32; # Time since a response has named it.
    }
    reply :group {
      outcome @7 :Outcome;
      waitMs @8 :UInt32;
      isReserved @9 :Bool;
    }
  }
}
