"""A fake of the platform's log."""

import collections
from collections.abc import Callable

from standins.virtual.world import World

RESPONSE_TIMEOUT_S = 2.0
RETENTION_RECORDS = 400


class FakeLog:
    """Streams with a total order, outages, slow appends and lost answers."""

    def __init__(self, world: World, retention: int = RETENTION_RECORDS) -> None:
        self._world = world
        self._retention = retention
        self._streams: dict[str, list[str]] = collections.defaultdict(list)
        self.is_down = False

    def append(
        self, zone: str, stream: str, data: bytes, answer: Callable[[bool], None]
    ) -> None:
        """Append, perhaps late, and answer, perhaps never.

        :param answer: Told whether the append is known to have taken effect.
        """
        rng, clock = self._world.rng, self._world.clock
        if self.is_down or zone in self._world.zones_without_platform:
            clock.schedule_after(RESPONSE_TIMEOUT_S, lambda: answer(False))
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
            clock.schedule_after(RESPONSE_TIMEOUT_S, lambda: answer(False))
            return
        clock.schedule_after(delay, lambda: answer(True))

    def read(
        self, zone: str, stream: str, start: int
    ) -> tuple[int, list[tuple[int, str]]] | None:
        """Read from an offset; None while the log cannot be reached.

        :return: The first offset that is kept, and the records with their offsets.
        """
        if self.is_down or zone in self._world.zones_without_platform:
            return None
        records = self._streams[stream]
        first = max(0, len(records) - self._retention)
        begin = max(start, first)
        return first, list(enumerate(records[begin:], begin))
