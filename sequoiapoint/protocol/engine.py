"""The engines' API: orders and reports."""

from typing import Literal

import pydantic

from sequoiapoint.protocol.errors import Failure, FailureKind


class ReportedHolding(pydantic.BaseModel):
    """A copy of an artifact, as reported by an engine."""

    holding: str
    artifact: str
    mb: int
    state: Literal["loading", "resident"]


class Report(pydantic.BaseModel):
    """A load report, which may describe a state well before its arrival.

    :param incarnation: The engine process that sent the report.
    :param sequence: Increases with each report of an incarnation.
    :param highest_fence: The highest fencing token of an accepted order.
    :param used_mb: The total memory in use, including by other programs, in megabytes.
    """

    incarnation: str
    sequence: int
    running: int
    queued: int
    leaving: bool
    highest_fence: int
    used_mb: int
    holdings: list[ReportedHolding]

    def holding(self, holding: str) -> ReportedHolding | None:
        """Return a copy by its id, or None if the engine does not hold it."""
        return next((h for h in self.holdings if h.holding == holding), None)


class Order(pydantic.BaseModel):
    """A load, unload or touch command to an engine.

    :param fence: The fencing token: the position of the record that permits the order.
    :param holding: The id of the copy; an unload names the copy, so that it cannot
        remove a later copy of the same artifact.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    action: Literal["load", "unload", "touch"]
    fence: int
    holding: str = ""
    artifact: str = ""
    mb: int = 0


def parse_report(body: bytes, peer: str) -> Report | Failure:
    """Parse and validate a report."""
    try:
        return Report.model_validate_json(body)
    except pydantic.ValidationError as error:
        detail = f"errors={error.error_count()}"
        return Failure(FailureKind.UNKNOWN, "bad_report", "report", peer, detail)
