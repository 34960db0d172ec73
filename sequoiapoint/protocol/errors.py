"""Failures as return values, with the reason, the step and the peer.

Remote calls return a failure instead of raising, so that each caller decides what it
means for the current request.
"""

import enum
from dataclasses import dataclass


class FailureKind(enum.Enum):
    """Whether the peer may have acted on the failed step."""

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Failure:
    """A failed step; false in a boolean context.

    :param kind: Whether the peer may have acted on it.
    :param reason: A short name from a fixed set, used as a metric label.
    :param step: The operation that failed.
    :param peer: The address or name of the peer.
    :param detail: Free text for the log.
    :param retry_after_s: The delay before a retry, in seconds; None if unspecified.
    """

    kind: FailureKind
    reason: str
    step: str
    peer: str
    detail: str = ""
    retry_after_s: float | None = None

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        return f"step={self.step} peer={self.peer} reason={self.reason} {self.detail}"
