"""Why a server is, or is not, the one that gets a request.

The reasons are a table in the order in which the selection of a server excludes
servers, so that the first one that applies is the one that decides.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass


class ServerReason(enum.Enum):
    """Why a server gets a request or not; the value is shown to operators."""

    CHOSEN = "chosen"
    DRAINING = "draining"
    """Its entry in the store says that it accepts no new requests."""
    MODEL_NOT_HELD = "model_not_held"
    ADAPTER_NOT_HELD = "adapter_not_held"
    UNREACHABLE = "unreachable"
    """A connection to it has just failed; another server can run the request, or the
    request waits for one."""
    LEAVING = "leaving"
    """It has announced that it stops, and another one can run the request."""
    BACK_OFF = "back_off"
    """It has turned a request away and named the time for which it wants none."""
    NO_PERMIT = "no_permit"
    """It names a limit on its requests, and no permit can be had now."""
    NEEDS_PERMIT = "needs_permit"
    """It names a limit on its requests; a permit would have to be granted."""
    NEEDS_SLOT = "needs_slot"
    """It gets only requests that its allocator has granted a slot."""
    FULL = "servers_full"
    NO_CONNECTION = "no_connection"
    """This host uses its share of the connections that the server accepts."""
    READS_PROMPTS = "engine_reads"
    """The engine still processes earlier prompts of this host."""
    AVOIDED = "avoided"
    """It was silent or unreachable; others are preferred."""
    CANDIDATE = "candidate"
    """It could run the request, but another one or an allocator comes first."""
    EXCLUDED = "excluded"
    """The selection leaves it out for a reason that is not in this table."""


@dataclass(frozen=True)
class ServerFigures:
    """The figures of a server that the selection uses.

    :param is_ready: Whether its entry says that it accepts new requests.
    :param holds_model: Whether it holds the model; True for a plain server.
    :param holds_adapter: Whether it holds the adapter; True if none is requested.
    :param is_unreachable: Whether a connection to it has just failed to open.
    :param leaving_s: Time since it announced that it stops; None if it stays.
    :param back_off_s: Time for which it wants no requests; 0 if it accepts them.
    :param is_avoided: Whether other servers are preferred.
    :param load: Estimated number of requests there, of all hosts.
    :param relative_time: How long work takes there, as a multiple of the time at the
        fastest server; None if no server states it.
    :param limit_per_s: The limit that it names, in requests a second; None for none.
    :param permit_wait_s: Time for which no permit can be had; None if one may be had.
    :param needs_slot: Whether it gets only requests with a granted slot.
    :param capacity_refusal: Why this host would send it nothing more, "" if it would.
    :param can_serve: Whether the selection counts it among those that can run the
        request, full or not.
    :param is_chosen: Whether the selection chooses it.
    """

    server: str
    zone: str
    slots: int
    is_ready: bool = True
    holds_model: bool = True
    holds_adapter: bool = True
    is_unreachable: bool = False
    leaving_s: float | None = None
    back_off_s: float = 0.0
    is_avoided: bool = False
    load: float = 0.0
    failure_rate: float = 0.0
    relative_time: float | None = None
    limit_per_s: float | None = None
    permit_wait_s: float | None = None
    needs_slot: bool = False
    capacity_refusal: str = ""
    can_serve: bool = True
    is_chosen: bool = False


_TABLE: tuple[tuple[ServerReason, Callable[[ServerFigures], bool]], ...] = (
    (ServerReason.CHOSEN, lambda f: f.is_chosen),
    (ServerReason.DRAINING, lambda f: not f.is_ready),
    (ServerReason.MODEL_NOT_HELD, lambda f: not f.holds_model),
    (ServerReason.ADAPTER_NOT_HELD, lambda f: not f.holds_adapter),
    (ServerReason.UNREACHABLE, lambda f: f.is_unreachable and not f.can_serve),
    # A leaving server is used while no other one holds the model.
    (ServerReason.LEAVING, lambda f: f.leaving_s is not None and not f.can_serve),
    (ServerReason.BACK_OFF, lambda f: f.back_off_s > 0.0),
    (ServerReason.EXCLUDED, lambda f: not f.can_serve),
    (
        ServerReason.NO_PERMIT,
        lambda f: f.limit_per_s is not None and f.permit_wait_s is not None,
    ),
    (ServerReason.NEEDS_PERMIT, lambda f: f.limit_per_s is not None),
    (ServerReason.FULL, lambda f: f.capacity_refusal == ServerReason.FULL.value),
    (
        ServerReason.NO_CONNECTION,
        lambda f: f.capacity_refusal == ServerReason.NO_CONNECTION.value,
    ),
    (ServerReason.READS_PROMPTS, lambda f: bool(f.capacity_refusal)),
    (ServerReason.NEEDS_SLOT, lambda f: f.needs_slot),
    (ServerReason.AVOIDED, lambda f: f.is_avoided),
)


def server_reason(figures: ServerFigures) -> ServerReason:
    """Return the first reason of the table that applies to a server."""
    return next(
        (reason for reason, applies in _TABLE if applies(figures)),
        ServerReason.CANDIDATE,
    )
