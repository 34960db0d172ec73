"""The outcome of applying a log record."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Outcome:
    """The outcome of applying one record.

    :param position: The record's position in its stream.
    :param applied: Whether the record took effect.
    :param reason: The reason for a rejection, a short name from a fixed set.
    """

    position: int
    applied: bool
    reason: str = ""


def applied(position: int) -> Outcome:
    """Return the outcome of a record that took effect."""
    return Outcome(position, True)


def rejected(position: int, reason: str) -> Outcome:
    """Return the outcome of a record that had no effect."""
    return Outcome(position, False, reason)
