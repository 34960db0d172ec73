"""Randomized fault soak: real gateway processes under externally injected faults.

A seed determines a plan of faults.  While they are injected, callers send requests over
persistent connections.  What the callers and servers observed is then checked against
the properties that must always hold.
"""
