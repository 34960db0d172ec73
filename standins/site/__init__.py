"""Simulated servers of the users' platform: the store, plain servers and engines.

They implement the platform's published protocol, run in an event loop of the test
process, and record what they observed for the checks.
"""
