"""The process of one entry host: builds, runs and gracefully stops its components."""

import contextlib
import random
import signal
import threading
import time
from dataclasses import replace
from typing import Any

from sequoiapoint.coordination.admission import Admission
from sequoiapoint.coordination.claims import ClaimTracker
from sequoiapoint.coordination.log_client import Applied
from sequoiapoint.coordination.membership import Membership
from sequoiapoint.coordination.probes import ProbeSlotTable
from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.coordination.retries import RetryBudget
from sequoiapoint.coordination.servers import ServerTable
from sequoiapoint.node.caller_app import CallerApp
from sequoiapoint.node.controller import Controller
from sequoiapoint.node.gossip import GossipLoop
from sequoiapoint.node.host_capacity import caller_memory_bytes, connection_limits
from sequoiapoint.node.http_app import HttpApp
from sequoiapoint.node.idempotent_run import BATCHERS_PER_ZONE, IdempotentRuns
from sequoiapoint.node.in_flight import InFlightRequests
from sequoiapoint.node.journal import Journal
from sequoiapoint.node.log_stream import LogStream, Writer, snapshot_json
from sequoiapoint.node.operator_app import OperatorApp
from sequoiapoint.node.probe_slots import ProbeSlots
from sequoiapoint.node.rejections import RejectionRenderer
from sequoiapoint.node.runtime import CoordinationState, HostRuntime
from sequoiapoint.protocol import invariants
from sequoiapoint.protocol.addresses import split_address
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.member import Member
from sequoiapoint.protocol.peers import (
    BadMessageError,
    ClaimCall,
    ProbeCall,
    Reply,
    StateCall,
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)
from sequoiapoint.protocol.records import CONTROL_STREAM, keys_stream
from sequoiapoint.protocol.settings import Settings
from sequoiapoint.state.control import ControlState
from sequoiapoint.state.keys import KeyState
from sequoiapoint.transport import clock, logs
from sequoiapoint.transport.caller_budget import CallerBudget
from sequoiapoint.transport.http_server import DEFAULT_LIMITS, HttpServer
from sequoiapoint.transport.metrics import Metrics
from sequoiapoint.transport.peer_link import PeerLink, call_peer

STATE_CALL_TIMEOUT_S = 2.0
MAX_PEERS_QUERIED = 3
BODY_COPIES = 4
"""Copies of the body of a request in progress: as received, as read by the application,
as parsed, and as sent to a server."""
DRAIN_NOTICE_S = 1.0
"""How long a draining host accepts requests, so that load balancers notice first."""


class EntryHost:
    """The process of one entry host.

    :param settings: The settings of the host.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._incarnation = time.time_ns()
        self._metrics = Metrics()
        invariants.set_observer(self._on_invariant_violation)
        self._runtime = self._build_runtime()
        self._in_flight = InFlightRequests()
        self._idempotent_runs = IdempotentRuns(self._runtime)
        self._probe_slots = ProbeSlots(self._runtime)
        self._gossip = GossipLoop(self._runtime)
        self._controller = Controller(self._runtime, self._gossip)
        self._operator_app = OperatorApp(self._runtime)
        self._stop_requested = self._operator_app.drain_requested

    def _build_runtime(self) -> HostRuntime:
        settings = self._settings
        local_member = Member(
            host=settings.host,
            incarnation=self._incarnation,
            heartbeat=0,
            zone=settings.zone,
            address=settings.address,
            peer_address=settings.peer_address,
        )
        now = clock.monotonic_s()
        coordination = CoordinationState(
            membership=Membership(local_member, settings.seeds, now),
            servers=ServerTable(),
            quarantine=Quarantine(),
            admission=Admission(),
            retry_budget=RetryBudget(settings.limits.retry_budget_percent),
            claims=ClaimTracker(),
            probes=ProbeSlotTable(),
            rng=random.Random(),
        )
        return HostRuntime(
            settings=settings,
            incarnation=str(self._incarnation),
            coordination_unlocked=coordination,
            metrics=self._metrics,
            journal=Journal(),
            control=self._build_stream(CONTROL_STREAM, ControlState),
            keys=self._build_stream(keys_stream(settings.zone), KeyState),
        )

    def _build_stream(self, name: str, state_type: type) -> LogStream:
        settings = self._settings
        writer = Writer(settings.host, str(self._incarnation), settings.zone)
        return LogStream(
            name,
            state_type(),
            state_type.from_json,
            settings.platform,
            writer,
            self._append_interval_s,
            self._on_applied,
            self._fetch_peer_state,
        )

    def _append_interval_s(self) -> float:
        """Return the minimum time between appends that keeps all hosts within the rate.

        In each zone the owner appends to the control stream and a few hosts append
        claims, so the number of zones determines the number of writers.
        """
        document = self._runtime.document
        zones = len(document.zones) if document else 1
        writers = zones * (1 + BATCHERS_PER_ZONE)
        return writers / self._settings.limits.appends_per_s

    # Events

    def _on_invariant_violation(self, name: str, detail: str) -> None:
        self._metrics.violation(name)
        logs.event("invariant_violated", "error", name=name, detail=detail)

    def _on_applied(self, applied: Applied) -> None:
        envelope, outcome = applied.envelope, applied.outcome
        kind = envelope.record.kind
        label = "applied" if outcome.applied else outcome.reason
        self._metrics.record(kind, label)
        if not outcome.applied:
            logs.event("record_void", kind=kind, writer=envelope.host, reason=label)
        if envelope.incarnation == self._runtime.incarnation:
            self._controller.on_applied(envelope.record, outcome)

    def _fetch_peer_state(self, stream: str) -> dict[str, Any] | None:
        """Return the latest state of a stream among those of a few peers."""
        with self._runtime.coordination() as coordination:
            peers = coordination.membership.alive(clock.monotonic_s())[1:]
            members = coordination.rng.sample(peers, min(MAX_PEERS_QUERIED, len(peers)))
        addresses = [m.peer_address for m in members] or list(self._settings.seeds)
        peer_states = [
            self._fetch_state_from(a, stream) for a in addresses[:MAX_PEERS_QUERIED]
        ]
        states = [state for state in peer_states if state is not None]
        return max(states, key=lambda s: s["next_offset"], default=None)

    def _fetch_state_from(self, address: str, stream: str) -> dict[str, Any] | None:
        if address == self._settings.peer_address:
            return None
        data = call_peer(
            address, encode_call(StateCall(stream)), "state", STATE_CALL_TIMEOUT_S
        )
        if isinstance(data, Failure):
            return None
        try:
            reply = decode_reply(data)
        except BadMessageError:
            return None
        return reply.data if reply.is_ok else None

    def _handle_peer_call(self, data: bytes) -> bytes:
        try:
            call = decode_call(data)
        except BadMessageError as error:
            return encode_reply(Reply(False, f"bad_message: {error}"))
        if isinstance(call, ClaimCall):
            return encode_reply(self._idempotent_runs.handle_claim_call(call))
        if isinstance(call, ProbeCall):
            return encode_reply(Reply(self._probe_slots.handle_call(call)))
        return encode_reply(self._state_reply(call.stream))

    def _state_reply(self, name: str) -> Reply:
        for stream in (self._runtime.control, self._runtime.keys):
            if stream.name == name and stream.is_complete:
                return Reply(True, "", snapshot_json(stream.snapshot()))
        return Reply(False, "no_state")

    # Lifecycle

    def run(self) -> None:
        """Serve until SIGTERM, SIGINT or an operator's drain, then stop gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._stop_requested.set())
        caller_app = CallerApp(self._runtime, self._idempotent_runs, self._probe_slots)
        app = HttpApp(self._runtime, caller_app, self._operator_app, self._in_flight)
        settings = self._settings
        with contextlib.ExitStack() as stack:
            link = PeerLink(
                settings.peer_address,
                self._gossip.handle_datagram,
                self._handle_peer_call,
            )
            stack.enter_context(link)
            self._gossip.set_link(link)
            stack.enter_context(self._runtime.control)
            stack.enter_context(self._runtime.keys)
            stack.enter_context(self._gossip)
            stack.enter_context(self._controller)
            stack.enter_context(self._build_server(app))
            logs.event("started", address=settings.address, zone=settings.zone)
            while not self._stop_requested.wait(1.0):
                pass
            self._drain()

    def _build_server(self, app: HttpApp) -> HttpServer:
        """Return the server for callers and operators, which is not started yet."""
        limits = self._settings.limits
        http_server = HttpServer(
            split_address(self._settings.address),
            app,
            limits.threads,
            CallerBudget(caller_memory_bytes(limits.memory_mb), BODY_COPIES),
            connection_limits(limits.max_descriptors).callers,
        )
        http_server.server.limits = replace(
            DEFAULT_LIMITS,
            max_body_bytes=limits.max_body_bytes,
            request_timeout_s=limits.body_timeout_s,
        )
        http_server.server.render_rejection = RejectionRenderer(self._runtime).render
        return http_server

    def _drain(self) -> None:
        """Leave the membership, stop accepting requests and finish those in flight."""
        logs.event("drain_started")
        self._runtime.is_leaving.set()
        with self._runtime.coordination() as coordination:
            coordination.membership.leave()
        self._runtime.urgent_gossip.set()
        threading.Event().wait(DRAIN_NOTICE_S)
        self._runtime.is_draining.set()
        is_idle = self._in_flight.wait_until_idle(self._settings.limits.drain_timeout_s)
        logs.event("drain_finished", idle=is_idle)
