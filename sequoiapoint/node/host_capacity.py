"""What callers may use of the memory and the descriptors of this host.

The rest is for the process itself and its connections to servers, the store and other
hosts: without it, a crowd of callers would end the process or cut it off.
"""

import os
import resource
import sys
from dataclasses import dataclass

CALLERS_MEMORY_SHARE = 0.2
"""Share of the memory for what callers send, until it has been answered."""
FILE_DESCRIPTORS = 200
"""Descriptors that sockets cannot use."""
CALLERS_DESCRIPTOR_SHARE = 0.5
"""Share of the descriptors for sockets that callers may use."""
PEERS_DESCRIPTOR_SHARE = 0.25
"""The same for calls of other hosts; those cut off from all servers send all their
requests through a few others."""
MAX_CHECKS = 32
"""Connections for each of readiness checks and metrics, at most."""
CHECKS_DESCRIPTOR_SHARE = 0.02
"""The same for each of these two where that is fewer."""
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True)
class ConnectionLimits:
    """The numbers of connections that each of the host's addresses accepts.

    :param checks: For the addresses of readiness checks and of metrics, each.
    """

    callers: int
    peers: int
    checks: int


def caller_memory_bytes(memory_mb: float | None) -> float:
    """Return the memory for what callers send, in bytes.

    :param memory_mb: The memory for the process; None for that of the machine.
    """
    if memory_mb is None:
        memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    else:
        memory = memory_mb * BYTES_PER_MB
    return CALLERS_MEMORY_SHARE * memory


def connection_limits(max_descriptors: int | None) -> ConnectionLimits:
    """Return the limits on the connections from outside.

    :param max_descriptors: The descriptors that the process may open; None for the
        limit of the process.
    """
    descriptors = max_descriptors
    if descriptors is None:
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        descriptors = sys.maxsize
    sockets = max(0, descriptors - FILE_DESCRIPTORS)

    def limit(share: float) -> int:
        return max(1, int(share * sockets))

    return ConnectionLimits(
        callers=limit(CALLERS_DESCRIPTOR_SHARE),
        peers=limit(PEERS_DESCRIPTOR_SHARE),
        checks=min(MAX_CHECKS, limit(CHECKS_DESCRIPTOR_SHARE)),
    )
