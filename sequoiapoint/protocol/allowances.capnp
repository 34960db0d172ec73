@0xb2f04c6a91d3e857;
# Messages between a host and the allowance allocator of an organisation, over UDP.

enum Outcome {
  decided @0;
  unavailable @1;             # The host does not allocate that organisation's allowance.
}

struct Charge {
  cost @0 :Float64;           # Units of the allowance.
  caller @1 :UInt64;          # Identifies the caller's request when it comes back.
  maxWaitMs @2 :UInt32;       # 0 to reserve nothing for it.
}

struct AllowanceMessage {
  number @0 :UInt64;          # Chosen by the requesting host's process.
  host @1 :Text;              # The sender.
  union {
    request :group {
      organisation @2 :Text;
      version @3 :UInt64;     # Of the configuration that states rate and burst.
      ratePerS @4 :Float64;
      burst @5 :Float64;
      charges @6 :List(Charge);
      left @7 :Float64;       # Credit that the host keeps.
      ahead @8 :Float64;      # Credit that it would like to hold.
      returned @9 :Float64;   # Credit and refunds that it gives back.
    }
    reply :group {
      outcome @10 :Outcome;
      waitsMs @11 :List(UInt32); # Of each charge; 0 if it is granted.
      credit @12 :Float64;    # Further units, for requests to come.
      denyMs @13 :UInt32;     # Time for which the host need not ask.
      waitMs @14 :UInt32;     # Time that callers are told whom it denies meanwhile.
      due @15 :List(UInt32);  # Callers to ask for nevertheless, see caller_mark.
    }
  }
}
