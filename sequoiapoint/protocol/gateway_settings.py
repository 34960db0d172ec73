"""Settings of one gateway host.

They contain the process's location, the addresses that it uses and the limits agreed
for the site; routes, services and models come from the operators' configuration.
"""

import pydantic

from sequoiapoint.protocol import jsonc
from sequoiapoint.protocol.addresses import Address


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Bounds(_StrictModel):
    """The site-wide limits for the gateway's timeouts and budgets."""

    drain_timeout_s: float = pydantic.Field(default=8.0, gt=0)
    """Time between the stop signal and the kill of the process."""
    server_drain_s: float = pydantic.Field(default=2.0, gt=0)
    """Time after which a draining server must receive no new requests."""
    configuration_apply_s: float = pydantic.Field(default=2.0, gt=0)
    """Time after which a configuration must be in force on all hosts."""
    order_lease_s: float = pydantic.Field(default=3.0, gt=0)
    """Minimum time between the orders of two different leaders."""
    is_fence_checked: bool = True
    """Whether engines reject orders with a lower fencing token than an earlier one."""
    retry_ratio: float = pydantic.Field(default=0.2, ge=0)
    """Retries allowed per request to a service."""
    retry_allowance: float = pydantic.Field(default=50.0, ge=0)
    """Additional retries allowed per window, over all hosts."""
    retry_window_s: float = pydantic.Field(default=10.0, gt=0)
    """Length of the window in which retries are counted."""
    store_load_window_s: float = pydantic.Field(default=5.0, gt=0)
    """Length of the window in which loads from the weight store are counted."""
    key_revocation_s: float | None = pydantic.Field(default=None, gt=0)
    """Time after which a withdrawn key must not be accepted at any host, reachable or
    not; None if only hosts in contact with the others must know of it."""
    allowance_window_s: float = pydantic.Field(default=8.0, gt=0)
    """Length of the window in which organisations' allowances are verified."""
    allowance_over_share: float = pydantic.Field(default=0.1, ge=0)
    """Share by which an organisation may exceed its allowance in a window."""
    allowance_slack: float = pydantic.Field(default=0.0, ge=0)
    """Units by which it may exceed it besides, over all hosts."""


class GatewaySettings(_StrictModel):
    """Settings of one gateway host."""

    host: str = pydantic.Field(min_length=1, max_length=128)
    zone: str = pydantic.Field(min_length=1)
    caller_address: Address
    """Address for callers' requests."""
    readiness_address: Address
    """Address for the load balancer's readiness checks."""
    peer_address: Address
    """Address for digests (UDP) and calls (TCP) from other hosts."""
    metrics_address: Address
    """Address for metrics scraping."""
    store: Address
    """Address of the platform's store."""
    link_mbps: float = pydantic.Field(default=1000.0, gt=0)
    """Rate of the host's network link, in Mbit/s."""
    cpu_share: float = pydantic.Field(default=1.0, gt=0)
    """Share of a processor core that the host may use."""
    cpu_speed: float = pydantic.Field(default=1.0, gt=0)
    """Factor on the speed of that core."""
    memory_mb: float | None = pydantic.Field(default=None, gt=0)
    """Memory for the process; None for that of the machine."""
    max_descriptors: int | None = pydantic.Field(default=None, gt=0)
    """Number of descriptors that the process may open, including those that only files
    can use; None for the limit of the process."""
    bounds: Bounds = Bounds()
    log_level: str = pydantic.Field(
        default="info", pattern="^(debug|info|warning|error)$"
    )
    log_lines_per_s: float = pydantic.Field(default=40.0, gt=0)
    """Maximum lines per second per event and outcome; excess lines are only counted."""


def load_gateway_settings(path: str) -> jsonc.LoadResult:
    """Load a settings file.

    :param path: The path of the file.
    :return: The settings, or every error with file and line.
    """
    return jsonc.load_file(path, GatewaySettings)
