"""Decisions on membership, routing, admission and placement, without I/O or clock."""
