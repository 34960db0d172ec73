"""Sockets, HTTP, clocks, metrics and logs."""
