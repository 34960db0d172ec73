"""Numbers that identify the messages of one process of a host.

A host keeps its name and address when its process is started again.  If each process
numbered its messages from 1, a reply to the former process, or what another host has
kept for it, would pass for one to the present process.
"""

import itertools
from collections.abc import Iterator

NUMBER_BITS = 20
"""Bits below the start time: processes do not send so many messages of one kind in a
millisecond that their numbers could meet those of a later process."""


def message_numbers(started_ms: int) -> Iterator[int]:
    """Return numbers that no process started at another time uses.

    :param started_ms: Start time of the process, in Unix milliseconds.
    """
    return itertools.count(started_ms << NUMBER_BITS)
