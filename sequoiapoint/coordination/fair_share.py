"""Shares a queue fairly between organisations.

Answers an organisation that sends several times its usual requests: first come, first
served, it gets the capacity that others of its priority need.  Each organisation gets
capacity in proportion to its weight while it has requests in the queue, and what the
others do not need besides (weighted fair queueing).

Each request served advances its organisation's finish time by the inverse of the
weight; the queue serves the organisation with the earliest one.  An organisation that
had no requests for a time starts at the current one, so it cannot save up its share.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any, TypeVar

MIN_WEIGHT_SHARE = 0.25
"""Weight of an organisation, relative to the mean, below which it does not fall: none
is served less than a quarter as often as all."""
MAX_ORGANISATIONS = 4096
"""Number of organisations whose finish times are kept."""

Item = TypeVar("Item")


class FairShare:
    """The service that organisations have had of one queue."""

    def __init__(self) -> None:
        self._weights: Mapping[str, float] = {}
        self._finish: dict[str, float] = {}
        self._now = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of the organisations, on any scale.

        An organisation without a weight has the mean of the others.
        """
        positive = [weight for weight in weights.values() if weight > 0.0]
        mean = sum(positive) / len(positive) if positive else 1.0
        self._weights = {
            name: max(MIN_WEIGHT_SHARE, weight / mean)
            for name, weight in weights.items()
            if weight > 0.0
        }

    def position(self, organisation: str, ahead: int = 0) -> float:
        """Return the position of an organisation's request; the lowest comes first.

        :param ahead: The number of its requests that precede this one.
        """
        step = 1.0 / self._weights.get(organisation, 1.0)
        return max(self._now, self._finish.get(organisation, 0.0)) + ahead * step

    def positions(self, organisations: Iterable[str]) -> list[float]:
        """Return the positions of several organisations, see ``position``."""
        now, finish = self._now, self._finish.get
        return [
            at if (at := finish(name, 0.0)) > now else now for name in organisations
        ]

    def served_before(
        self, organisations: Collection[str], position: float
    ) -> list[float]:
        """Return how many requests of each organisation can precede a position.

        A whole number n means that request n of the organisation, counted from 0, is at
        the position; a negative number, that its first one comes after it.
        """
        weight = self._weights.get
        positions = zip(organisations, self.positions(organisations), strict=True)
        return [(position - own) * weight(name, 1.0) for name, own in positions]

    def note_served(self, organisation: str) -> None:
        """Record that a request of an organisation has been served."""
        start = self.position(organisation)
        self._now = start
        if len(self._finish) >= MAX_ORGANISATIONS:
            self._finish = {n: at for n, at in self._finish.items() if at > start}
        self._finish[organisation] = self.position(organisation, 1)

    def ordered(
        self,
        items: Iterable[Item],
        organisation: Callable[[Item], str],
        urgency: Callable[[Item], tuple[Any, ...]],
        group: Callable[[Item], tuple[Any, ...]],
    ) -> list[Item]:
        """Return queued requests in the order in which they should be served.

        :param urgency: The most urgent request of an organisation comes first.
        :param group: Requests of a lower group precede all of a higher one; fairness
            applies within a group.
        """
        ahead: dict[tuple[str, tuple[Any, ...]], int] = {}
        keyed = []
        for number, item in enumerate(sorted(items, key=urgency)):
            name, own_group = organisation(item), group(item)
            count = ahead.get((name, own_group), 0)
            ahead[(name, own_group)] = count + 1
            keyed.append((own_group, self.position(name, count), number, item))
        return [item for *_, item in sorted(keyed, key=lambda entry: entry[:3])]
