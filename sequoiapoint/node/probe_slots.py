"""Slots that let one suspected request at a time run on a backend server.

One entry host, chosen by rendezvous hashing, grants the slot of each server.
"""

from sequoiapoint.coordination import rendezvous
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.peers import (
    BadMessageError,
    ProbeCall,
    decode_reply,
    encode_call,
)
from sequoiapoint.transport import clock
from sequoiapoint.transport.peer_link import call_peer

CALL_TIMEOUT_S = 1.0


class ProbeSlots:
    """Acquires and releases slots at the host that grants them.

    :param runtime: The shared state of the process.
    """

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime

    def acquire(self, server: str, holder: str) -> bool:
        """Request the slot of a server.

        If the host that grants it cannot be reached, this host decides by itself, so
        that an unreachable host does not block suspected requests.

        :param holder: The id of the request.
        :return: Whether the request may run.
        """
        return self._call_slot_host(ProbeCall(server, holder, is_release=False))

    def release(self, server: str, holder: str) -> None:
        """Release a slot."""
        self._call_slot_host(ProbeCall(server, holder, is_release=True))

    def handle_call(self, call: ProbeCall) -> bool:
        """Handle a call as the host that grants the slot."""
        with self._runtime.coordination() as coordination:
            if call.is_release:
                coordination.probes.release(call.server, call.holder)
                return True
            now = clock.monotonic_s()
            return coordination.probes.acquire(call.server, call.holder, now)

    def _call_slot_host(self, call: ProbeCall) -> bool:
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            members = {m.host: m for m in coordination.membership.serving(now)}
        local_host = self._runtime.settings.host
        slot_host = rendezvous.highest(call.server, members)
        if slot_host is None or slot_host == local_host:
            return self.handle_call(call)
        data = call_peer(
            members[slot_host].peer_address, encode_call(call), "probe", CALL_TIMEOUT_S
        )
        if isinstance(data, Failure):
            return self.handle_call(call)
        try:
            return decode_reply(data).is_ok
        except BadMessageError:
            return True
