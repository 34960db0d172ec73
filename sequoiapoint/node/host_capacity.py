"""What callers may use of the memory of this host.

The rest is for the process itself, which a crowd of callers would end otherwise.
"""

import os

from sequoiapoint.protocol.gateway_settings import GatewaySettings

CALLERS_MEMORY_SHARE = 0.25
"""Share of the memory for what callers send, until it has been answered."""
BYTES_PER_MB = 1_000_000


def caller_memory_bytes(settings: GatewaySettings) -> float:
    """Return the memory for what callers send, in bytes."""
    if settings.memory_mb is None:
        memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    else:
        memory = settings.memory_mb * BYTES_PER_MB
    return CALLERS_MEMORY_SHARE * memory
