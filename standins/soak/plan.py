"""The plan of one run: the faults and their times, generated from a seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

EARLIEST_START_S, LATEST_START_S = 0.5, 8.0
"""Range of the time from the start of traffic to the start of a fault."""
MIN_DURATION_S, MAX_DURATION_S = 0.2, 3.0
MIN_FAULTS, MAX_FAULTS = 4, 9
"""Range of the number of faults in a run; they may overlap."""
FAULT_KINDS = {
    "gateway": ("kill", "freeze", "terminate", "reload"),
    "callers": ("delay", "reset", "cut_in", "cut_out", "silence"),
    "server": ("delay", "reset", "cut_in", "cut_out", "silence"),
    "store_link": ("delay", "reset", "cut_in", "cut_out", "silence"),
    "store": ("busy", "silent", "reset", "forget", "reassign"),
    "backend": ("crash", "lose_answers", "fail", "cut_streams", "drain"),
    "operator": ("change",),
}
"""The kinds of faults by the part that they affect.  ``callers``, ``server`` and
``store_link`` are links: from the callers to a gateway, from the gateways to a server,
and from a gateway to the store."""

FURTHER_KINDS = (("backend", "leave"), ("backend", "turn_away"), ("store", "older"))
"""Further faults, as pairs of part and kind: what servers announce in their responses,
and a store that comes back older."""
SERVER_KINDS = (("backend", "limit"), ("backend", "upgrade"))
"""Faults of servers that last longer: a limit on requests, and a restart under the same
id at another software version."""
MIN_SERVER_FAULT_S, MAX_SERVER_FAULT_S = 4.0, 8.0
MAX_SERVER_FAULTS = 3
"""The largest number of such faults in a run."""
CUT_KINDS = (
    ("gateway", "cut_silent"),
    ("gateway", "cut_reset"),
    ("gateway", "cut_new_only"),
)
"""Gateways that are cut off from all servers: their connections stall or are reset, or
old ones live on while new ones are reset."""
MIN_CUT_S, MAX_CUT_S = 1.0, 6.0
MAX_CUTS = 2
"""The largest number of such faults in a run."""
CONTINUATION_KINDS = (
    ("backend", "no_stream"),
    ("backend", "no_events"),
    ("backend", "begin_again"),
)
"""Streams that break off, and whose continuations are answered with 200 and a page,
with nothing, or with events from the first one on."""
MAX_CONTINUATION_FAULTS = 2
"""The largest number of such faults in a run."""
MAX_FURTHER_FAULTS = 3
"""The largest number of such faults in a run."""


@dataclass(frozen=True)
class Fault:
    """One fault.

    :param at_s: The time from the start of traffic to its start, in seconds.
    :param part: The part that it affects, a key of ``FAULT_KINDS``.
    :param target: A number that selects one of the instances of the part.
    """

    at_s: float
    duration_s: float
    part: str
    kind: str
    target: int

    def __str__(self) -> str:
        return (
            f"{self.at_s:.1f}+{self.duration_s:.1f}s"
            f" {self.part} {self.target} {self.kind}"
        )


def generate_faults(seed: int) -> list[Fault]:
    """Return the faults of a run, in order of their start."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        part = rng.choice(list(FAULT_KINDS))
        faults.append(
            Fault(
                rng.uniform(EARLIEST_START_S, LATEST_START_S),
                rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
                part,
                rng.choice(FAULT_KINDS[part]),
                rng.randrange(12),
            )
        )
    faults += _generate_group(
        f"{seed} further",
        FURTHER_KINDS,
        (MIN_DURATION_S, MAX_DURATION_S),
        MAX_FURTHER_FAULTS,
    )
    faults += _generate_group(
        f"{seed} servers",
        SERVER_KINDS,
        (MIN_SERVER_FAULT_S, MAX_SERVER_FAULT_S),
        MAX_SERVER_FAULTS,
    )
    faults += _generate_group(
        f"{seed} cuts", CUT_KINDS, (MIN_CUT_S, MAX_CUT_S), MAX_CUTS
    )
    faults += _generate_group(
        f"{seed} continuations",
        CONTINUATION_KINDS,
        (MIN_DURATION_S, MAX_DURATION_S),
        MAX_CONTINUATION_FAULTS,
    )
    return sorted(faults, key=lambda fault: fault.at_s)


def _generate_group(
    seed: str,
    kinds: Sequence[tuple[str, str]],
    durations_s: tuple[float, float],
    maximum: int,
) -> list[Fault]:
    """Return up to ``maximum`` faults of some kinds.

    Each group has a generator of its own, so that the other faults of a run stay as
    they were when it failed.

    :param kinds: Pairs of part and kind.
    :param durations_s: The shortest and the longest duration, in seconds.
    """
    rng = random.Random(seed)
    return [
        Fault(
            rng.uniform(EARLIEST_START_S, LATEST_START_S),
            rng.uniform(*durations_s),
            *rng.choice(kinds),
            rng.randrange(12),
        )
        for _ in range(rng.randint(0, maximum))
    ]
