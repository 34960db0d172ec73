"""Invariants that are checked while the program serves.

A check never stops the process: the caller declines the step at hand, and the
observer counts and logs the violation.  Tests install an observer that raises.
"""

from collections.abc import Callable

Observer = Callable[[str, str], None]


class InvariantViolationError(AssertionError):
    """An invariant did not hold."""


def raise_violation(name: str, detail: str) -> None:
    """Raise an error for a violation.

    :param name: The invariant's short name.
    :param detail: What it was checked on.
    """
    raise InvariantViolationError(f"{name}: {detail}")


_observers: list[Observer] = [raise_violation]


def set_observer(observer: Observer) -> None:
    """Replace the observer of violations."""
    _observers[:] = [observer]


def check(condition: bool, name: str, detail: str = "") -> bool:
    """Check an invariant.

    :param condition: Whether it holds.
    :param name: A short name, used as a counter's label.
    :param detail: What it was checked on.
    :return: The condition, so that a caller can decline where it is false.
    """
    if not condition:
        for observer in _observers:
            observer(name, detail)
    return condition
