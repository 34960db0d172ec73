"""Replays hedged requests to plain servers in virtual time.

A request without a response after a delay is sent to a second server, within the retry
budget of its host; the first response counts, and the other copy is cancelled.  With
slots, the copy gets one only if it is free at once, so that it delays no other request.
All requests are taken to be idempotent, which is the best case for hedging.
"""

import argparse
from types import SimpleNamespace
from typing import Any

from sequoiapoint.coordination import waiting
from sequoiapoint.coordination.retry_window import RetryWindow
from sequoiapoint.protocol.gateway_settings import Bounds
from sequoiapoint.protocol.slots import (
    SlotOutcome,
    SlotQuality,
    SlotReply,
    SlotRequest,
)
from standins.plain_load import Load, Replay, Request, Server, summary

LOADS = {
    "calm": Load(),
    "equal": Load(speeds=(2.0, 2.0, 2.0)),
    "paused": Load(slowed_share=0.05, slowed_factor=15.0),
    "light": Load(rate=60.0),
    "light_paused": Load(rate=60.0, slowed_share=0.05, slowed_factor=15.0),
    "burst": Load(burst=3.0),
    "heavy": Load(rate=300.0),
    "over": Load(rate=420.0),
    "few_hosts": Load(hosts=10),
}
"""The loads; ``paused`` are servers that nearly stop for 0.6 s in a twentieth of their
time."""


class HedgedReplay(Replay):
    """A replay in which requests without a response are sent to a second server.

    :param delay_s: Time from sending a request to sending its copy; None for no copies.
    :param is_work_stopped: Whether a server stops the work of a cancelled request;
        otherwise it runs to its end.
    """

    def __init__(
        self,
        load: Load,
        rule: str,
        are_speeds_used: bool,
        seed: int,
        delay_s: float | None,
        is_work_stopped: bool = True,
    ) -> None:
        super().__init__(load, rule, are_speeds_used, seed)
        self._delay_s, self._is_work_stopped = delay_s, is_work_stopped
        bounds = Bounds()
        self._windows = [
            RetryWindow(
                bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
            )
            for _ in range(load.hosts)
        ]
        self._copies: dict[Request, Request] = {}
        self._originals: dict[Request, Request] = {}
        self._in_flight: dict[Request, Server] = {}
        self._working: dict[Request, Server] = {}
        self._cancelled: set[Request] = set()
        self.copies_sent = self.copies_won = self.over_budget = 0

    def _begin(self, request: Request) -> None:
        self._windows[request.host].record_request(self.now)
        super()._begin(request)

    # Copies

    def _send(self, request: Request, server: Server) -> None:
        self._in_flight[request] = server
        super()._send(request, server)
        if request in self._originals:
            self.copies_sent += 1
        elif self._delay_s is not None and request not in self._copies:
            self.at(self._delay_s, self._hedge, request, request.attempts)

    def _hedge(self, request: Request, attempt: int) -> None:
        """Send a copy of a request that has no response yet."""
        first = self._in_flight.get(request)
        is_waiting = first is not None and request.attempts == attempt
        if not is_waiting or request.result or request in self._copies:
            return
        if not waiting.may_send_again(request.deadline - self.now):
            return
        window = self._windows[request.host]
        if not window.try_acquire(self.now, self.load.hosts):
            self.over_budget += 1
            return
        copy = Request(
            *(len(self.requests), request.host, request.arrived_at, request.goal_s),
            *(request.deadline, request.priority, request.work_s),
            tried={first.entry.server},
        )
        self.requests.append(copy)
        self._copies[request], self._originals[copy] = copy, request
        self._search(copy)

    def _choose(self, request: Request) -> None:
        super()._choose(request)
        if request in self._originals and request not in self._in_flight:
            self._drop(request)

    def _reject(self, request: Request, retry_after_s: float) -> None:
        if request in self._originals:
            self._drop(request)
        else:
            super()._reject(request, retry_after_s)

    def _drop(self, copy: Request) -> None:
        """Give up a copy that has not been sent."""
        copy.result = copy.result or "dropped"
        host_waiting = self.waiting[copy.host]
        if copy in host_waiting:
            host_waiting.remove(copy)

    def _allocate(self, request: Request, zone: str, others: list[str]) -> None:
        if request not in self._originals:
            super()._allocate(request, zone, others)
            return
        candidates = tuple(
            s.entry.server
            for s in self.servers
            if s.entry.server not in request.tried
            and (self.is_single or s.entry.zone == zone)
        )
        slot_request = SlotRequest(
            *(f"h-{request.host}", request.number, candidates, request.priority),
            *(request.deadline - self.now, 0.0),
        )
        reply = self.allocators[zone].request(slot_request, self.now)
        self.messages += 1
        self.at(self._delay(request.host, zone), self._replied, reply, zone, others)

    def _replied(self, reply: SlotReply, zone: str, others: list[str]) -> None:
        request = self.requests[reply.number]
        is_copy = request in self._originals
        if is_copy and self._originals[request].result:
            request.result = request.result or "dropped"
        if is_copy and reply.outcome is not SlotOutcome.GRANTED:
            self._release(request, zone, ("", 0), SlotQuality.UNUSED)
            if others and not request.result:
                self._ask(request, others)
            else:
                self._drop(request)
            return
        super()._replied(reply, zone, others)

    # Outcomes

    def _work(self, request: Request, server: Server) -> None:
        self._working[request] = server
        super()._work(request, server)

    def _finish(self, request: Request, server: Server, seconds: float) -> None:
        if self._working.pop(request, None) is not None:
            super()._finish(request, server, seconds)

    def _answered(
        self, request: Request, server: Server, is_served: bool, seconds: float = 0.0
    ) -> None:
        if request in self._cancelled:
            return
        self._in_flight.pop(request, None)
        original = self._originals.get(request)
        other = self._copies.get(request) if original is None else original
        if not is_served and (original is not None or other in self._in_flight):
            self._leave(request, server, SlotQuality.REJECTED)
            if original is not None:
                self._drop(request)
                if original not in self._in_flight:
                    self._reject(original, waiting.RETRY_AFTER_S)
            return
        super()._answered(request, server, is_served, seconds)
        if original is not None:
            self.copies_won += 1
            original.result, original.server = request.result, server
            original.ended_at = self.now
        if is_served and other is not None:
            self._cancel(other)

    def _cancel(self, loser: Request) -> None:
        """Cancel the copy whose response is no longer needed."""
        loser.result = loser.result or "dropped"
        server = self._in_flight.pop(loser, None)
        if server is None:
            return
        self._cancelled.add(loser)
        self._leave(loser, server, SlotQuality.UNUSED)
        delay_s = self._delay(loser.host, server.entry.zone)
        self.at(delay_s, self._stop_work, loser, server)

    def _leave(self, request: Request, server: Server, quality: SlotQuality) -> None:
        """Stop to count a request at a server, and release its slot."""
        self.local[request.host][server.entry.server] -= 1
        if request.grant is not None:
            zone, engine = request.grant
            self._release(request, zone, engine, quality)
            request.grant = None

    def _stop_work(self, request: Request, server: Server) -> None:
        queued = next((item for item in server.queue if item[0] is request), None)
        if queued is not None:
            server.queue.remove(queued)
        elif request in self._working and self._is_work_stopped:
            del self._working[request]
            server.running -= 1
            if server.queue:
                self._work(server.queue.popleft()[0], server)

    def figures(self) -> dict[str, Any]:
        """Return the figures of the replay; copies are not counted as requests."""
        requests = [r for r in self.requests if r not in self._originals]
        view = SimpleNamespace(
            requests=requests,
            turned_away=self.turned_away,
            messages=self.messages,
            servers=self.servers,
        )
        counted = summary(view)
        shown = ("requests", "on_time", "on_time_p0", "served", "p99_ms", "turned_away")
        return {name: counted[name] for name in shown} | {
            "copies": self.copies_sent / len(requests),
            "won": self.copies_won / max(1, self.copies_sent),
            "over_budget": self.over_budget,
        }


def main() -> None:
    """Print one line for each load, rule and delay."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=55.0)
    parser.add_argument("--load", help="only this load")
    parser.add_argument("--delays-ms", default="0,60,120,200")
    arguments = parser.parse_args()
    for name, load in LOADS.items():
        if arguments.load not in (None, name):
            continue
        load.duration_s = arguments.seconds
        rule = "counts" if name == "few_hosts" else "granted"
        for delay_ms in map(float, arguments.delays_ms.split(",")):
            for is_work_stopped in (True, False) if delay_ms else (True,):
                replay = HedgedReplay(
                    *(load, rule, True, arguments.seed),
                    delay_ms / 1000 if delay_ms else None,
                    is_work_stopped,
                )
                replay.run()
                figures = " ".join(
                    f"{key}={value:.3g}"
                    if isinstance(value, float)
                    else f"{key}={value}"
                    for key, value in replay.figures().items()
                )
                end = "stopped" if is_work_stopped else "run_to_end"
                print(f"load={name} delay_ms={delay_ms:g} loser={end} {figures}")


if __name__ == "__main__":
    main()
