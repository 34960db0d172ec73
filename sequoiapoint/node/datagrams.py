"""Decodes datagrams of other hosts; counts and logs those that cannot be read."""

from collections.abc import Callable
from typing import TypeVar

from sequoiapoint.node.gateway_state import GatewayState

Message = TypeVar("Message")


def decode_datagram(
    state: GatewayState,
    decode: Callable[[bytes], Message],
    data: bytes,
    address: tuple[str, int],
    kind: str,
) -> Message | None:
    """Decode a datagram, None if it cannot be read.

    :param decode: Raises ``ValueError`` for data that it cannot decode.
    :param address: The sender's IP address and port.
    :param kind: The kind of message, for the log and the metrics.
    """
    try:
        return decode(data)
    except ValueError as error:
        state.metrics.event(f"{kind}_unreadable")
        state.log.event(f"{kind}_unreadable", peer=address[0], error=str(error))
        return None
