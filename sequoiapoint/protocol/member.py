"""Membership data of an entry host."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """The membership entry that an entry host publishes about itself.

    :param incarnation: Increases with each start of the process on the host.
    :param heartbeat: The number of heartbeats in this incarnation.
    :param address: The address for callers' requests.
    :param peer_address: The address for messages from other hosts.
    :param is_leaving: Whether the host is draining.
    """

    host: str
    incarnation: int
    heartbeat: int
    zone: str
    address: str
    peer_address: str
    is_leaving: bool = False
