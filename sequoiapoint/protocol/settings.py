"""Settings of one entry host.

Settings contain only the process's location, the addresses of its peers and its limits.
Models, servers and service classes come from the operators' document.
"""

from typing import Literal

import pydantic

from sequoiapoint.protocol import jsonc
from sequoiapoint.protocol.addresses import Address


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Limits(_StrictModel):
    """Limits on the load that the process accepts and generates."""

    threads: int = pydantic.Field(default=128, ge=4, le=1024)
    max_body_bytes: int = pydantic.Field(default=1_000_000, ge=1_000)
    body_timeout_s: float = pydantic.Field(default=10.0, gt=0)
    """Time for receiving a whole request."""
    memory_mb: float | None = pydantic.Field(default=None, gt=0)
    """Memory for the process; None for that of the machine."""
    max_descriptors: int | None = pydantic.Field(default=None, gt=0)
    """Number of descriptors that the process may open, including those that only files
    can use; None for the limit of the process."""
    retry_budget_percent: float = pydantic.Field(default=10.0, ge=0, le=100)
    appends_per_s: float = pydantic.Field(default=200.0, gt=0)
    drain_timeout_s: float = pydantic.Field(default=60.0, gt=0)
    snapshot_interval_s: float = pydantic.Field(default=300.0, gt=0)
    key_window_s: float = pydantic.Field(default=3600.0, gt=0)


class Operator(_StrictModel):
    """A person who is authorised to submit documents.

    :param name: The name shown in the version history.
    :param token_sha256: The hash of the operator's token, in hexadecimal.
    """

    name: str
    token_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")


class Settings(_StrictModel):
    """Settings of one entry host."""

    host: str = pydantic.Field(min_length=1, max_length=64)
    site: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    address: Address
    peer_address: Address
    seeds: list[Address] = []
    platform: Address
    operators: list[Operator] = []
    limits: Limits = Limits()
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def load_settings(path: str) -> jsonc.LoadResult:
    """Load a settings file.

    :param path: The path of the file.
    :return: The settings, or every error with file and line.
    """
    return jsonc.load_file(path, Settings)
