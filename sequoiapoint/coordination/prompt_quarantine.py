"""Finds the parts of prompts that crash the engines which write an answer on them.

Answers a caller's document that crashes every engine, in requests of which no two are
alike and which share all their other parts with sound ones.  When an engine crashes,
the parts of every request in flight there that had not been answered are suspects.  A
part of any request that is answered is sound, so that parts in common use are cleared
at once.

Requests with a suspect part are all sent to one engine, which differs from part to
part, so that no more than one engine falls at a time while the evidence is gathered.
An engine that crashes on such a request counts twice: the part was under suspicion
before, and most other suspects were elsewhere.

All hosts share what they have seen: the crashed engine processes by suspect, and which
suspects are cleared.  Both only grow, so hosts agree in whatever order they learn of
them.  The parts to reject are derived from these sets alone.
"""

import functools
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace

import xxhash

from sequoiapoint.protocol.gateway import Incarnation

MIN_CRASHES = 3
"""Crashed engine processes for which a part must account to be rejected; those that
crashed on a request whose part was a suspect when it was sent count twice."""
MIN_TIED_CRASHES = 5
"""The same if another suspect accounts for the same crashes; a request that is sent
again takes its sound parts along to the next engines."""
RETENTION_S = 600.0
"""Time after the last change for which a suspect, or a cleared part, is remembered."""
MAX_EXCUSED = 256
"""Number of engine processes that are remembered whose crashes do not count."""
MAX_CLEARED = 4096
"""Number of cleared parts that are remembered, those last answered."""
MAX_SUSPECTS = 512
"""Number of suspects that are remembered, those changed last."""
MAX_KNOWN_PROCESSES = 4096
"""Number of server processes whose numbers are kept; a site has at most 1,300."""


@dataclass(frozen=True)
class SuspectPart:
    """What is known of a part of prompts.

    :param part: The part's id.
    :param crashes: The engine processes that crashed with it in flight, see
        ``crash_number``.
    :param is_cleared: Whether a request with it has been answered since.
    :param changed_at: When this was last changed on this host, in seconds.
    """

    part: str
    crashes: frozenset[int]
    is_cleared: bool = False
    changed_at: float = 0.0


@functools.lru_cache(MAX_KNOWN_PROCESSES)
def process_number(incarnation: Incarnation) -> int:
    """Return a number that stands for a server process, of 31 bits."""
    server, started_ms = incarnation
    return xxhash.xxh32_intdigest(f"{server}@{started_ms}".encode()) >> 1


def crash_number(process: int, was_suspect: bool) -> int:
    """Return the number that stands for a crash in messages, of 32 bits.

    :param process: The number of the engine's process.
    :param was_suspect: Whether the part was a suspect when the request was sent.
    """
    return process << 1 | was_suspect


def crashed_process(number: int) -> int:
    """Return the number of the process of a crash, see ``crash_number``."""
    return number >> 1


def rejected_parts(
    crashes: Mapping[str, Collection[int]],
    repeated: Mapping[str, Collection[int]] | None = None,
) -> frozenset[str]:
    """Return the parts that account for the crashes.

    The suspect with most crashes explains them all; the other suspects of these
    crashes count only for the rest.

    :param crashes: The crashed engine processes by suspect.
    :param repeated: Those of them that crashed on a request whose part was a suspect
        when it was sent.
    """
    unexplained = {part: frozenset(processes) for part, processes in crashes.items()}
    repeated = repeated or {}

    def weight(part: str, processes: frozenset[int]) -> int:
        return len(processes) + len(processes.intersection(repeated.get(part, ())))

    rejected: set[str] = set()
    while unexplained:
        weights = {part: weight(part, unexplained[part]) for part in unexplained}
        most = max(weights.values())
        if most < MIN_CRASHES:
            break
        part = min(p for p in weights if weights[p] == most)
        explained = unexplained[part]
        tied = {
            other
            for other, processes in unexplained.items()
            if len(processes) >= len(explained)
            and weight(other, processes - explained) < MIN_CRASHES
        }
        if len(tied) == 1 or len(explained) >= MIN_TIED_CRASHES:
            rejected |= tied
        unexplained = {
            other: processes - explained
            for other, processes in unexplained.items()
            if other not in tied and processes - explained
        }
    return frozenset(rejected)


class PromptQuarantine:
    """The suspect, cleared and rejected parts that this host knows of."""

    def __init__(self) -> None:
        self._suspects: dict[str, SuspectPart] = {}
        self._cleared: dict[str, float] = {}
        self._excused: dict[int, None] = {}
        self._rejected: frozenset[str] = frozenset()

    @property
    def rejected(self) -> frozenset[str]:
        """Return the parts whose requests are rejected."""
        return self._rejected

    def suspects(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return the suspects among the parts, the one of most crashes first."""
        known = [self._suspects[part] for part in parts if part in self._suspects]
        known = [suspect for suspect in known if not suspect.is_cleared]
        known.sort(key=lambda suspect: (-len(suspect.crashes), suspect.part))
        return tuple(suspect.part for suspect in known)

    def record_crash(
        self,
        parts: Iterable[str],
        process: int,
        now: float,
        suspects: Collection[str] = (),
    ) -> bool:
        """Record that an engine crashed with a request in flight.

        :param parts: The parts that the request shares with others.
        :param process: The number of the engine's process, see ``process_number``.
        :param suspects: Those of the parts that were suspects when it was sent.
        :return: Whether anything was not known.
        """
        changes = [
            self.merge(part, {crash_number(process, part in suspects)}, False, now)
            for part in parts
        ]
        return any(changes)

    def merge(
        self, part: str, crashes: Collection[int], is_cleared: bool, now: float
    ) -> bool:
        """Merge what this or another host knows of a part.

        :return: Whether anything was not known.  For a suspect that is cleared here,
            the clearance is sent to the other hosts once more.
        """
        if is_cleared:
            return self.clear([part], now)
        known = self._suspects.get(part) or SuspectPart(part, frozenset())
        all_crashes = known.crashes | {
            number for number in crashes if crashed_process(number) not in self._excused
        }
        if all_crashes == known.crashes:
            return False
        is_cleared = part in self._cleared
        self._suspects[part] = SuspectPart(part, all_crashes, is_cleared, now)
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[min(self._suspects, key=self._changed_at)]
        self._decide()
        return True

    def excuse(self, process: int) -> None:
        """Do not count the crash of an engine, as it was not due to what it ran.

        :param process: The number of the engine's process, see ``process_number``.
        """
        self._excused[process] = None
        while len(self._excused) > MAX_EXCUSED:
            del self._excused[next(iter(self._excused))]
        numbers = {crash_number(process, False), crash_number(process, True)}
        suspects = {
            part: replace(suspect, crashes=suspect.crashes - numbers)
            for part, suspect in self._suspects.items()
        }
        self._suspects = {part: s for part, s in suspects.items() if s.crashes}
        self._decide()

    def clear(self, parts: Iterable[str], now: float) -> bool:
        """Record that a request was answered.

        :return: Whether one of its parts was a suspect until now.
        """
        changes = [self._clear(part, now) for part in parts]
        return any(changes)

    def rejected_part(self, parts: Iterable[str]) -> str | None:
        """Return the part for which a request is rejected, None if there is none."""
        return next((part for part in parts if part in self._rejected), None)

    def remaining_s(self, part: str, now: float) -> float:
        """Return the time until a rejected part is forgotten, in seconds."""
        known = self._suspects.get(part)
        return max(0.0, known.changed_at + RETENTION_S - now) if known else 0.0

    def recent_changes(
        self, now: float, age_s: float, limit: int
    ) -> tuple[SuspectPart, ...]:
        """Return the suspects changed recently, those of most crashes first.

        :param age_s: Maximum age of a change, in seconds.
        :param limit: Maximum number of suspects.
        """
        self._forget(now)
        recent = [s for s in self._suspects.values() if now - s.changed_at < age_s]
        recent.sort(key=lambda s: (not s.is_cleared, -len(s.crashes), -s.changed_at))
        return tuple(recent[:limit])

    def _changed_at(self, part: str) -> float:
        return self._suspects[part].changed_at

    def _clear(self, part: str, now: float) -> bool:
        self._cleared.pop(part, None)
        self._cleared[part] = now
        while len(self._cleared) > MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]
        known = self._suspects.get(part)
        if known is None or known.is_cleared:
            return False
        self._suspects[part] = replace(known, is_cleared=True, changed_at=now)
        self._decide()
        return True

    def _forget(self, now: float) -> None:
        """Forget what has not changed for ``RETENTION_S``."""
        expired = [
            part
            for part, suspect in self._suspects.items()
            if now - suspect.changed_at >= RETENTION_S
        ]
        for part in expired:
            del self._suspects[part]
        while self._cleared:
            oldest = next(iter(self._cleared))
            if now - self._cleared[oldest] < RETENTION_S:
                break
            del self._cleared[oldest]
        if expired:
            self._decide()

    def _decide(self) -> None:
        crashes = {p: s.crashes for p, s in self._suspects.items() if not s.is_cleared}
        self._rejected = rejected_parts(
            {
                part: {crashed_process(n) for n in numbers}
                for part, numbers in crashes.items()
            },
            {
                part: {crashed_process(n) for n in numbers if n & 1}
                for part, numbers in crashes.items()
            },
        )
