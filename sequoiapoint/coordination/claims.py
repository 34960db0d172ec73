"""The life cycle of this process's own idempotency key claims.

A claim is dispatched at most once, and an abandoned claim is never dispatched.  Both
are decided in one place, so that a caller is never told that its request did not run
although the claim was dispatched, or is dispatched later.
"""

import enum

from sequoiapoint.protocol import invariants
from sequoiapoint.state.keys import KeyEntry


class ClaimState(enum.Enum):
    """The state of a claim of this process."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    ABANDONED = "abandoned"


class ClaimDecision(enum.Enum):
    """How a request that claimed a key proceeds, according to the key's entry."""

    DISPATCH = "dispatch"
    KEY_REUSED = "key_reused"
    REPLAY = "replay"
    RUN_FAILED = "run_failed"
    RUNNING = "running"
    UNKNOWN = "unknown"


def decide(
    entry: KeyEntry, nonce: str, body_hash: str, is_claimant_alive: bool
) -> ClaimDecision:
    """Decide how a request proceeds, by the entry that was read back.

    :param nonce: The id of this request's claim.
    :param body_hash: Hash that is equal for a request and its retries.
    :param is_claimant_alive: Whether the process that made the entry's claim is alive.
    """
    if entry.nonce == nonce:
        return ClaimDecision.DISPATCH
    if entry.body_hash != body_hash:
        return ClaimDecision.KEY_REUSED
    if entry.fate == "done":
        return ClaimDecision.REPLAY
    if entry.fate == "failed":
        return ClaimDecision.RUN_FAILED
    if not entry.fate and is_claimant_alive:
        return ClaimDecision.RUNNING
    return ClaimDecision.UNKNOWN


class ClaimTracker:
    """The claims of this process that are not settled yet."""

    def __init__(self) -> None:
        self._states: dict[str, ClaimState] = {}

    def register(self, nonce: str) -> None:
        """Register a new claim.

        :param nonce: The claim's unique id.
        """
        is_new = nonce not in self._states
        if invariants.check(is_new, "claim_opened_twice", nonce):
            self._states[nonce] = ClaimState.WAITING

    def dispatch(self, nonce: str) -> bool:
        """Mark a winning claim as dispatched, at most once.

        :return: Whether the request may be sent to a backend server.
        """
        state = self._states.get(nonce)
        if state is ClaimState.ABANDONED:
            return False
        is_first = state is ClaimState.WAITING
        if not invariants.check(is_first, "claim_dispatched_twice", nonce):
            return False
        self._states[nonce] = ClaimState.DISPATCHED
        return True

    def abandon(self, nonce: str) -> bool:
        """Abandon a claim, so that it is never dispatched.

        :return: Whether it is certain that the claim has not been dispatched.
        """
        if self._states.get(nonce) is ClaimState.DISPATCHED:
            return False
        self._states[nonce] = ClaimState.ABANDONED
        return True

    def is_abandoned(self, nonce: str) -> bool:
        """Tell whether a claim was abandoned before it was dispatched."""
        return self._states.get(nonce) is ClaimState.ABANDONED

    def remove(self, nonce: str) -> None:
        """Remove a claim whose outcome has been read back."""
        self._states.pop(nonce, None)
