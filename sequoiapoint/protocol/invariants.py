"""Invariants that are checked at run time.

A violation never stops the process: the calling code rejects the current step, and the
observer counts and logs the violation.  The default observer, used in tests, raises.
"""

from collections.abc import Callable

Observer = Callable[[str, str], None]


class InvariantViolationError(AssertionError):
    """An invariant was violated."""


def raise_violation(name: str, detail: str) -> None:
    """Raise an error for a violation.

    :param name: The invariant's short name.
    :param detail: The values that violated it.
    """
    raise InvariantViolationError(f"{name}: {detail}")


_observers: list[Observer] = [raise_violation]


def set_observer(observer: Observer) -> None:
    """Replace the observer of violations."""
    _observers[:] = [observer]


def check(condition: bool, name: str, detail: str = "") -> bool:
    """Check an invariant.

    :param condition: Whether the invariant holds.
    :param name: A short name, used as a metric label.
    :param detail: The checked values.
    :return: The condition, so that the calling code can reject the step if it is false.
    """
    if not condition:
        for observer in _observers:
            observer(name, detail)
    return condition
