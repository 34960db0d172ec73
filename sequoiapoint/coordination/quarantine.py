"""Quarantine of requests that crash the backend servers that run them.

A request that was in flight on a server when it crashed is a suspect.  Requests with
one fingerprint may be in flight on many servers, and one event may take several servers
down at once, so the number of crashed processes alone proves nothing: a fingerprint is
quarantined once enough processes have crashed, of which all but the first were sent the
request after the suspicion had arisen.  If enough have crashed but not in this order,
one request at a time probes whether it crashes a server.

A request that crashes servers is never answered, so one that is answered is cleared:
crashes do not count against it for as long as that is remembered.

Hosts exchange the crashes and the cleared fingerprints.  Both sets only grow, so hosts
agree in whatever order they learn of them.
"""

import enum
from collections.abc import Collection, Hashable
from dataclasses import dataclass, replace

QUARANTINE_TTL_S = 600.0
SUSPECT_TTL_S = 120.0
QUARANTINE_THRESHOLD = 2
MAX_EXCUSED = 256
"""Number of server processes that are remembered whose crashes do not count."""
MAX_CLEARED = 4096
"""Number of cleared fingerprints that are remembered, those last answered."""


class Verdict(enum.Enum):
    """Whether a request may be sent to a server."""

    ADMITTED = "admitted"
    BEHIND_PROBE = "behind_probe"
    """Another request with the same fingerprint probes whether it crashes a server."""
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class Suspicion:
    """The crash record of a request fingerprint.

    :param deaths: The server incarnations that crashed with the request in flight.
    :param until: When the record expires, in seconds on the local clock.
    :param is_quarantined: Whether the request is rejected.
    :param changed_at: When the record was last changed, in seconds.
    :param repeated: Those of the incarnations that were sent the request as a suspect.
    :param is_cleared: Whether the request has been answered.
    :param since: When the first crash became known here, in seconds.
    """

    fingerprint: str
    deaths: frozenset[str]
    until: float
    is_quarantined: bool
    changed_at: float = 0.0
    repeated: frozenset[str] = frozenset()
    is_cleared: bool = False
    since: float = 0.0


class Quarantine:
    """The suspect and quarantined requests that this host knows of.

    :param crash_threshold: Number of crashes of different server processes that puts a
        request into quarantine.
    """

    def __init__(self, crash_threshold: int = QUARANTINE_THRESHOLD) -> None:
        self._crash_threshold = crash_threshold
        self._suspicions: dict[str, Suspicion] = {}
        self._excused: dict[str, None] = {}
        self._cleared: dict[str, float] = {}
        # By fingerprint: who holds the right to probe it.
        self._probes: dict[str, Hashable] = {}

    def record_crash(
        self,
        fingerprint: str,
        incarnation: str,
        now: float,
        sent_at: float | None = None,
    ) -> bool:
        """Record that a server crashed with a request in flight.

        :param incarnation: The server process that crashed.
        :param now: The time, in seconds.
        :param sent_at: When the server was sent the request, in seconds; None if that
            was after earlier crashes had become known.
        :return: Whether the request is in quarantine.
        """
        known = self._unexpired(fingerprint, now)
        was_suspect = known is not None and (sent_at is None or sent_at >= known.since)
        death = frozenset({incarnation})
        repeated = death if was_suspect else frozenset()
        return self.merge(fingerprint, death, now, repeated)

    def merge(
        self,
        fingerprint: str,
        deaths: frozenset[str],
        now: float,
        repeated: frozenset[str] | None = None,
    ) -> bool:
        """Merge the crashes that a peer has recorded for a fingerprint.

        :param repeated: Those of servers that were sent the request as a suspect; None
            if they all were.
        :return: Whether the request is in quarantine.
        """
        known = self._unexpired(fingerprint, now)
        repeated = deaths if repeated is None else repeated
        deaths -= self._excused.keys()
        repeated &= deaths
        if not deaths:
            return known is not None and known.is_quarantined
        if known is None:
            known = Suspicion(fingerprint, frozenset(), 0.0, False, since=now)
        elif deaths <= known.deaths and repeated <= known.repeated:
            return known.is_quarantined
        suspicion = replace(
            known,
            deaths=known.deaths | deaths,
            repeated=known.repeated | repeated,
            changed_at=now,
            is_cleared=self._is_cleared(fingerprint, now),
        )
        is_quarantined = self._is_proven(suspicion)
        has_enough = len(suspicion.deaths) >= self._crash_threshold
        until = now + (QUARANTINE_TTL_S if has_enough else SUSPECT_TTL_S)
        self._suspicions[fingerprint] = replace(
            suspicion, until=until, is_quarantined=is_quarantined
        )
        return is_quarantined

    def _is_proven(self, suspicion: Suspicion) -> bool:
        """Tell whether a request has crashed servers, not only been there."""
        return (
            len(suspicion.deaths) >= self._crash_threshold
            and len(suspicion.repeated) >= self._crash_threshold - 1
            and not suspicion.is_cleared
        )

    def excuse(self, incarnation: str) -> None:
        """Do not count the crash of a server, as it was not due to what it ran."""
        self._excused[incarnation] = None
        while len(self._excused) > MAX_EXCUSED:
            del self._excused[next(iter(self._excused))]
        for fingerprint, known in list(self._suspicions.items()):
            if incarnation not in known.deaths:
                continue
            suspicion = replace(
                known,
                deaths=known.deaths - {incarnation},
                repeated=known.repeated - {incarnation},
            )
            if suspicion.deaths:
                self._suspicions[fingerprint] = replace(
                    suspicion, is_quarantined=self._is_proven(suspicion)
                )
            else:
                del self._suspicions[fingerprint]

    def clear(self, fingerprint: str, now: float) -> bool:
        """Record that a request was answered.

        :return: Whether crashes had counted against it until now.
        """
        self._cleared.pop(fingerprint, None)
        self._cleared[fingerprint] = now
        while len(self._cleared) > MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]
        known = self._unexpired(fingerprint, now)
        if known is None or known.is_cleared:
            return False
        self._suspicions[fingerprint] = replace(
            known, is_quarantined=False, is_cleared=True, changed_at=now
        )
        return True

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request has to be rejected."""
        known = self._unexpired(fingerprint, now)
        return known is not None and known.is_quarantined

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request was in flight when a server crashed."""
        known = self._unexpired(fingerprint, now)
        return known is not None and not known.is_cleared

    def needs_probe(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request has to be probed, as enough servers have crashed.

        They may have crashed for another cause, all at once.
        """
        known = self._unexpired(fingerprint, now)
        return (
            known is not None
            and not (known.is_quarantined or known.is_cleared)
            and len(known.deaths) >= self._crash_threshold
        )

    def admit(self, fingerprint: str, holder: Hashable, now: float) -> Verdict:
        """Decide whether a request may be sent to a server.

        The first one of a fingerprint that needs a probe becomes the probe.

        :param holder: Stands for the request until ``end_probe``.
        """
        if self.is_quarantined(fingerprint, now):
            return Verdict.QUARANTINED
        if not self.needs_probe(fingerprint, now):
            return Verdict.ADMITTED
        is_probe = self._probes.setdefault(fingerprint, holder) == holder
        return Verdict.ADMITTED if is_probe else Verdict.BEHIND_PROBE

    def end_probe(self, fingerprint: str, holder: Hashable) -> None:
        """Note that a request has ended; no effect if it was not the probe."""
        if self._probes.get(fingerprint) == holder:
            del self._probes[fingerprint]

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Return the time until a fingerprint's record expires, in seconds."""
        known = self._unexpired(fingerprint, now)
        return known.until - now if known else 0.0

    def suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return the unexpired records of requests that are not cleared."""
        return tuple(s for s in self._records(now) if not s.is_cleared)

    def recent_changes(
        self, now: float, age_s: float, limit: int
    ) -> tuple[Suspicion, ...]:
        """Return the records changed recently, for the peers.

        Those of most crashes come first, of these the newest.

        :param age_s: Maximum age of a change, in seconds.
        :param limit: Maximum number of records.
        """
        recent = [s for s in self._records(now) if now - s.changed_at < age_s]
        recent.sort(key=lambda s: (-len(s.deaths), -s.changed_at))
        return tuple(recent[:limit])

    def _records(self, now: float) -> Collection[Suspicion]:
        self._suspicions = {f: s for f, s in self._suspicions.items() if s.until > now}
        return self._suspicions.values()

    def _is_cleared(self, fingerprint: str, now: float) -> bool:
        answered_at = self._cleared.get(fingerprint)
        return answered_at is not None and now - answered_at < QUARANTINE_TTL_S

    def _unexpired(self, fingerprint: str, now: float) -> Suspicion | None:
        known = self._suspicions.get(fingerprint)
        return known if known is not None and known.until > now else None
