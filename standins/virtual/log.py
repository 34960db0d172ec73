"""A fake of the platform's log service."""

import collections
from collections.abc import Callable

from standins.virtual.world import World

RESPONSE_TIMEOUT_S = 2.0
RETENTION_RECORDS = 400


class FakeLog:
    """Totally ordered streams, with outages, late appends and lost responses."""

    def __init__(self, world: World, retention: int = RETENTION_RECORDS) -> None:
        self._world = world
        self._retention = retention
        self._streams: dict[str, list[str]] = collections.defaultdict(list)
        self.is_down = False

    def append(
        self, zone: str, stream: str, data: bytes, on_response: Callable[[bool], None]
    ) -> None:
        """Append a batch, perhaps late; the response may be lost.

        :param on_response: Called with whether the append is known to have taken
            effect.
        """
        rng, clock = self._world.rng, self._world.clock
        if self.is_down or zone in self._world.zones_without_platform:
            clock.schedule_after(RESPONSE_TIMEOUT_S, lambda: on_response(False))
            return
        delay = rng.expovariate(1 / 0.02)
        if rng.random() < self._world.faults.long_delay:
            delay += rng.uniform(0, 10)
            self._world.counts["appends late"] += 1
        clock.schedule_after(delay, lambda: self._streams[stream].append(data.decode()))
        if (
            rng.random() < self._world.faults.lost_response
            or delay > RESPONSE_TIMEOUT_S
        ):
            self._world.counts["append answers lost"] += 1
            clock.schedule_after(RESPONSE_TIMEOUT_S, lambda: on_response(False))
            return
        clock.schedule_after(delay, lambda: on_response(True))

    def read(
        self, zone: str, stream: str, start: int
    ) -> tuple[int, list[tuple[int, str]]] | None:
        """Read from an offset; None while the log is unreachable.

        :return: The offset of the oldest record that is retained, and the records with
            their offsets.
        """
        if self.is_down or zone in self._world.zones_without_platform:
            return None
        records = self._streams[stream]
        oldest = max(0, len(records) - self._retention)
        start_offset = max(start, oldest)
        return oldest, list(enumerate(records[start_offset:], start_offset))
