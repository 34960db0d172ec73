"""The host processes, which connect the decision logic to I/O and clocks."""
