"""Turns for suspects, given by one entry host for each backend server."""

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
    """Asks the host that gives a server's turns."""

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime

    def acquire(self, server: str, holder: str) -> bool:
        """Ask for a turn.

        A host that cannot be reached gives none, but does not stand in the way.
        """
        return self._ask(ProbeCall(server, holder, is_release=False))

    def release(self, server: str, holder: str) -> None:
        """Give a turn back."""
        self._ask(ProbeCall(server, holder, is_release=True))

    def handle_call(self, call: ProbeCall) -> bool:
        """Answer a call as the host that gives the turns."""
        with self._runtime.coordination() as coordination:
            if call.is_release:
                coordination.probes.release(call.server, call.holder)
                return True
            now = clock.monotonic_s()
            return coordination.probes.acquire(call.server, call.holder, now)

    def _ask(self, call: ProbeCall) -> bool:
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            members = {m.host: m for m in coordination.membership.serving(now)}
        me = self._runtime.settings.host
        giver = rendezvous.highest(call.server, members)
        if giver is None or giver == me:
            return self.handle_call(call)
        data = call_peer(
            members[giver].peer_address, encode_call(call), "probe", CALL_TIMEOUT_S
        )
        if isinstance(data, Failure):
            return self.handle_call(call)
        try:
            return decode_reply(data).is_ok
        except BadMessageError:
            return True
