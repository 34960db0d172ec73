"""The entry host process: connects the decision logic to I/O and clocks."""
