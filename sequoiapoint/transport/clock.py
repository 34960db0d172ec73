"""The clocks of the process; code that makes decisions gets times as arguments."""

import random
import time

_TICK_PHASE_S = random.random()
"""Offset of this process's ticks, so that processes do not wake up together."""
MIN_PAUSE_SHARE = 0.25
"""Minimum pause until a tick, as a share of the interval."""


def monotonic_s() -> float:
    """Return the monotonic time, in seconds."""
    return time.monotonic()


def since_boot_s() -> float:
    """Return the monotonic time including system suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the Unix time, in milliseconds."""
    return time.time_ns() // 1_000_000


def pause_to_tick_s(interval_s: float) -> float:
    """Return the time until the next of this process's ticks, in seconds.

    Periodic checks that pause until a tick wake the event loop together: each wake-up
    has a price.

    :param interval_s: The interval of the ticks; a pause is at most a quarter longer.
    """
    pause_s = interval_s - (monotonic_s() + _TICK_PHASE_S) % interval_s
    is_short = pause_s < MIN_PAUSE_SHARE * interval_s
    return pause_s + interval_s if is_short else pause_s
