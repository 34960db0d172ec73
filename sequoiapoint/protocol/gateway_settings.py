"""Settings of one gateway host.

They say where the process is, whom it can reach and which bounds the site has agreed
on; routes, services and models come from the operators' configuration.
"""

import pydantic

from sequoiapoint.protocol import jsonc
from sequoiapoint.protocol.settings import Address


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Bounds(_Strict):
    """What the site has agreed on, for the gateway's timeouts and budgets."""

    drain_timeout_s: float = pydantic.Field(default=8.0, gt=0)
    """Time from the order to stop until the process is killed."""
    server_drain_s: float = pydantic.Field(default=2.0, gt=0)
    """Time after which a leaving server must get no new work."""
    order_lease_s: float = pydantic.Field(default=3.0, gt=0)
    """Time within which two hosts must not take turns at giving orders."""
    is_fence_checked: bool = True
    """Whether engines refuse an order under a lower number after a higher one."""
    retry_ratio: float = pydantic.Field(default=0.2, ge=0)
    """Resends for each request to a service."""
    retry_allowance: float = pydantic.Field(default=50.0, ge=0)
    """Resends besides, in a window, over all hosts."""
    retry_window_s: float = pydantic.Field(default=10.0, gt=0)
    """Length of the window in which resends are counted."""
    store_load_window_s: float = pydantic.Field(default=5.0, gt=0)
    """Length of the window in which loads from the weight store are counted."""


class GatewaySettings(_Strict):
    """Settings of one gateway host."""

    host: str = pydantic.Field(min_length=1, max_length=128)
    zone: str = pydantic.Field(min_length=1)
    caller_address: Address
    """Where callers' requests come in."""
    readiness_address: Address
    """Where the balancer asks whether the host is ready."""
    peer_address: Address
    """Where other hosts' digests and calls come in, over UDP and TCP."""
    metrics_address: Address
    """Where metrics are scraped."""
    store: Address
    """The platform's store."""
    bounds: Bounds = Bounds()
    log_level: str = pydantic.Field(
        default="info", pattern="^(debug|info|warning|error)$"
    )
    log_lines_per_s: float = pydantic.Field(default=40.0, gt=0)
    """Lines a second for each event and outcome; more are counted and left out."""


def load_gateway_settings(path: str) -> jsonc.LoadResult:
    """Load a settings file.

    :param path: The path of the file.
    :return: The settings, or every error with file and line.
    """
    return jsonc.load_file(path, GatewaySettings)
