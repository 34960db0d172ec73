"""Garbage collection at the start of a process.

Imports create some 50,000 objects that live as long as the process; a full collection
that examines them pauses a gateway for 30 ms and finds no garbage.
"""

import contextlib
import gc
from collections.abc import Iterator

FIRST_THRESHOLD = 10_000
"""Allocations, less those freed, between two collections.  Most objects of requests are
freed by their reference counts, so that frequent collections find little."""


@contextlib.contextmanager
def suspended() -> Iterator[None]:
    """Collect no garbage until :func:`resume_after_start` is called, or the end."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def resume_after_start() -> None:
    """Collect garbage from now on, but do not examine the objects that exist now."""
    gc.freeze()
    gc.set_threshold(FIRST_THRESHOLD)
    gc.enable()
