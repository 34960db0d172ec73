"""Quarantine of requests that crash the backend servers that run them.

A request in flight on a server that died is a suspect.  Two deaths of different
servers' processes put its fingerprint into quarantine.  An innocent neighbour is
seldom beside the same server's death twice; to keep it out, a suspect is retried
alone, and a suspect that finishes is cleared.
"""

from dataclasses import dataclass

QUARANTINE_S = 600.0
SUSPECT_S = 120.0
QUARANTINE_THRESHOLD = 2


@dataclass(frozen=True)
class Suspicion:
    """What is known of a fingerprint.

    :param deaths: The server incarnations that died with the request in flight.
    :param until: When this is forgotten, in seconds on the local clock.
    :param is_quarantined: Whether the request is refused.
    :param changed_at: When the last death was learnt of, in seconds.
    """

    fingerprint: str
    deaths: frozenset[str]
    until: float
    is_quarantined: bool
    changed_at: float = 0.0


class Quarantine:
    """The suspects and the quarantined requests that this host knows of.

    :param deaths_needed: Deaths of different servers' processes for a quarantine.
    """

    def __init__(self, deaths_needed: int = QUARANTINE_THRESHOLD) -> None:
        self._deaths_needed = deaths_needed
        self._suspicions: dict[str, Suspicion] = {}

    def record_death(self, fingerprint: str, incarnation: str, now: float) -> bool:
        """Note that a server died with a request in flight.

        :param incarnation: The process of the server that died.
        :param now: The time, in seconds.
        :return: Whether the request is in quarantine.
        """
        return self.merge(fingerprint, frozenset({incarnation}), now)

    def merge(self, fingerprint: str, deaths: frozenset[str], now: float) -> bool:
        """Take in what a peer knows of a fingerprint.

        :return: Whether the request is in quarantine.
        """
        known = self._live(fingerprint, now)
        all_deaths = deaths | (known.deaths if known else frozenset())
        if known is not None and all_deaths == known.deaths:
            return known.is_quarantined
        quarantined = len(all_deaths) >= self._deaths_needed
        until = now + (QUARANTINE_S if quarantined else SUSPECT_S)
        self._suspicions[fingerprint] = Suspicion(
            fingerprint, all_deaths, until, quarantined, now
        )
        return quarantined

    def clear(self, fingerprint: str) -> None:
        """Forget a suspect that has finished on a server."""
        known = self._suspicions.get(fingerprint)
        if known is not None and not known.is_quarantined:
            del self._suspicions[fingerprint]

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request has to be refused."""
        known = self._live(fingerprint, now)
        return known is not None and known.is_quarantined

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request was in flight when a server died."""
        return self._live(fingerprint, now) is not None

    def remaining_s(self, fingerprint: str, now: float) -> float:
        """Return for how long a fingerprint stays known, in seconds."""
        known = self._live(fingerprint, now)
        return known.until - now if known else 0.0

    def suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return all that is known, for the peers."""
        self._suspicions = {f: s for f, s in self._suspicions.items() if s.until > now}
        return tuple(self._suspicions.values())

    def recent_changes(
        self, now: float, age_s: float, limit: int
    ) -> tuple[Suspicion, ...]:
        """Return what changed lately, the newest first, for the peers.

        :param age_s: How long ago it may have changed, in seconds.
        :param limit: The most to return.
        """
        recent = [s for s in self.suspicions(now) if now - s.changed_at < age_s]
        recent.sort(key=lambda suspicion: -suspicion.changed_at)
        return tuple(recent[:limit])

    def _live(self, fingerprint: str, now: float) -> Suspicion | None:
        known = self._suspicions.get(fingerprint)
        return known if known is not None and known.until > now else None
