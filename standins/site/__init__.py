"""Small stand-ins for what a gateway meets on the users' platform.

They speak the platform's published protocol, run in the event loop of the test, and
keep what they saw for the checks.
"""
