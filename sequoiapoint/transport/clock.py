"""The clocks of the process; code that makes decisions gets times as arguments."""

import time


def monotonic_s() -> float:
    """Return the monotonic time, in seconds."""
    return time.monotonic()


def since_boot_s() -> float:
    """Return the monotonic time including system suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the Unix time, in milliseconds."""
    return time.time_ns() // 1_000_000
