"""The life of this process's own key claims.

A claim is dispatched at most once, and one that was given up is never dispatched.
Both are decided here in one place, so that a caller who is told "not run" and a
dispatch of the same claim exclude each other.
"""

import enum

from sequoiapoint.protocol import invariants
from sequoiapoint.state.keys import KeyEntry


class ClaimState(enum.Enum):
    """What has become of a claim of this process."""

    WAITING = "waiting"
    DISPATCHED = "dispatched"
    ABANDONED = "abandoned"


class ClaimDecision(enum.Enum):
    """What the entry of a key means for a request that claimed it."""

    DISPATCH = "dispatch"
    KEY_REUSED = "key_reused"
    REPLAY = "replay"
    RUN_FAILED = "run_failed"
    RUNNING = "running"
    UNKNOWN = "unknown"


def decide(
    entry: KeyEntry, nonce: str, body_hash: str, is_claimant_alive: bool
) -> ClaimDecision:
    """Decide by the entry that was read back.

    :param nonce: This request's claim.
    :param body_hash: What a resend has in common with its first try.
    :param is_claimant_alive: Whether the process of the entry's claim lives.
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
    """The claims that this process has made and not yet settled."""

    def __init__(self) -> None:
        self._states: dict[str, ClaimState] = {}

    def register(self, nonce: str) -> None:
        """Note a new claim.

        :param nonce: The claim's unique id.
        """
        is_new = nonce not in self._states
        if invariants.check(is_new, "claim_opened_twice", nonce):
            self._states[nonce] = ClaimState.WAITING

    def dispatch(self, nonce: str) -> bool:
        """Take the right to dispatch a claim that won, at most once.

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
        """Give up a claim, so that it is never dispatched.

        :return: Whether it is certain that the claim has not been dispatched.
        """
        if self._states.get(nonce) is ClaimState.DISPATCHED:
            return False
        self._states[nonce] = ClaimState.ABANDONED
        return True

    def is_abandoned(self, nonce: str) -> bool:
        """Tell whether a claim was given up before it was dispatched."""
        return self._states.get(nonce) is ClaimState.ABANDONED

    def remove(self, nonce: str) -> None:
        """Forget a claim whose outcome has been read back."""
        self._states.pop(nonce, None)
