"""Small stand-ins for the servers that a gateway uses on the users' platform.

They implement the platform's published protocol, run in an event loop of the test
process, and record what they observed for the checks.
"""
