@0xc2a94b71d0e85f36;
# Messages between a host with a request and the slot allocator of a zone, over UDP.

enum Outcome {
  granted @0;
  queued @1;
  unavailable @2;
}

enum Quality {
  onTime @0;
  late @1;
  failed @2;
  unreachable @3;
  unused @4;
}

struct SlotMessage {
  number @0 :UInt64;          # Chosen by the requesting host's process.
  host @1 :Text;              # The requesting host.
  union {
    request :group {
      service @2 :Text;
      model @3 :Text;
      adapter @4 :Text;
      priority @5 :UInt8;
      remainingMs @6 :UInt32;
      excluded @7 :List(Text);
      goalMs @14 :UInt32;
    }
    reply :group {
      outcome @8 :Outcome;
      server @9 :Text;
      startedMs @10 :Int64;
    }
    release :group {
      server @11 :Text;       # Empty to withdraw a queued request.
      startedMs @12 :Int64;
      quality @13 :Quality;
    }
  }
}
