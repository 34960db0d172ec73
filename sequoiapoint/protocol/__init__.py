"""Schemas, typed messages and their codecs; pure functions without I/O."""
