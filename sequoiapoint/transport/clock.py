"""The clocks of the process; the decisions below get times as arguments."""

import time


def monotonic_s() -> float:
    """Return a time that never goes back, in seconds."""
    return time.monotonic()


def since_boot_s() -> float:
    """Return a time that never goes back and counts suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the time since 1970, in milliseconds."""
    return time.time_ns() // 1_000_000
