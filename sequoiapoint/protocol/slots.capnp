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
  rejected @5;
  broken @6;
}

struct SlotMessage {
  number @0 :UInt64;          # Chosen by the requesting host's process.
  host @1 :Text;              # The requesting host.
  union {
    request :group {
      candidates @2 :List(Text);
      priority @3 :UInt8;
      remainingMs @4 :UInt32;
      goalMs @5 :UInt32;
      organisation @15 :Text; # Empty for none.
    }
    reply :group {
      outcome @6 :Outcome;
      server @7 :Text;
      startedMs @8 :Int64;
      waitMs @12 :UInt32;     # Expected until a queued request is granted a slot; 0 if
                              # not known.
    }
    release :group {
      server @9 :Text;        # Empty to withdraw a queued request.
      startedMs @10 :Int64;
      quality @11 :Quality;
      slownessPercent @13 :UInt16;  # What the server stated; 0 if it stated nothing.
      relativeTime @14 :Float32;    # How long the work took, as a multiple of the time
                                    # expected of it; 0 if not known.
    }
  }
}
