"""Claims ownership of the zone, polls its backend servers and sends orders to them."""

import threading
from concurrent.futures import Future, ThreadPoolExecutor

from sequoiapoint.coordination.ownership import Candidacy
from sequoiapoint.coordination.zone_owner import Append, SendOrder, ZoneOwner
from sequoiapoint.node.gossip import GossipLoop
from sequoiapoint.node.log_stream import PendingAppend
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.node.server_links import ServerLinks
from sequoiapoint.protocol.document import Document, Server
from sequoiapoint.protocol.engine import Order, Report
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.protocol.records import FenceRaised, Record
from sequoiapoint.state.control import Owner
from sequoiapoint.state.outcome import Outcome
from sequoiapoint.transport import clock, http_client, logs

TICK_S = 0.1
REPORT_INTERVAL_S = 0.5
HOST_LIST_TIMEOUT_S = 1.0
HOST_LIST_INTERVAL_S = 1.0
WORKER_THREADS = 16
SNAPSHOT_STAGGER_FRACTION = 0.25
"""How much longer each further zone waits before it writes the shared snapshot.

It is a fraction of the snapshot interval."""


class Controller:
    """Runs the control loop of this host.

    :param runtime: The shared state of the process.
    :param gossip: Publishes the loads of the zone's servers to the peers.
    """

    def __init__(self, runtime: HostRuntime, gossip: GossipLoop) -> None:
        self._runtime = runtime
        self._gossip = gossip
        self._lock = threading.Lock()
        self._zone = runtime.settings.zone
        self._owner: ZoneOwner | None = None
        self._loads: dict[str, int] = {}
        self._polls: dict[str, Future] = {}
        self._poll_at: dict[str, float] = {}
        self._pending_snapshots: dict[str, PendingAppend] = {}
        self._host_list_polled_at = float("-inf")
        self._server_links = ServerLinks()
        self._executor = ThreadPoolExecutor(
            WORKER_THREADS, thread_name_prefix="control"
        )
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)
        with runtime.coordination() as coordination:
            self._candidacy = Candidacy(coordination.membership, clock.monotonic_s())

    def __enter__(self) -> "Controller":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join(timeout=2)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            try:
                self._tick()
            except Exception as error:
                logs.event("control_error", "error", step="tick", detail=repr(error))
                self._runtime.metrics.event("control_error")

    def _tick(self) -> None:
        now = clock.monotonic_s()
        self._poll_host_list(now)
        if not self._runtime.control.is_complete:
            return
        with self._runtime.control.state() as state:
            owner = state.owner(self._zone)
            document = state.configuration.document
        self._claim_zone(owner, now)
        if document is None:
            return
        self._follow_ownership(owner, document, now)
        if self._owner is None:
            return
        self._poll_servers(document, now)
        self._execute_actions(now)
        self._write_snapshots(document)

    # Ownership

    def _claim_zone(self, owner: Owner | None, now: float) -> None:
        with self._runtime.coordination():
            record = self._candidacy.claim(owner, now)
        if record is not None:
            logs.event("owner_claim_sent", zone=self._zone, base=record.base)
            self._runtime.control.submit(record)

    def _follow_ownership(
        self, owner: Owner | None, document: Document, now: float
    ) -> None:
        """Start or stop acting as the zone owner, according to the log."""
        with self._runtime.coordination():
            is_owner_here = self._candidacy.is_owner(owner)
        if not is_owner_here or self._runtime.is_leaving.is_set():
            self._owner = None
            return
        if self._owner is not None and self._owner.claim == owner.claim:
            return
        zones = len(document.zones)
        older = document.older_system
        rate = max(0.0, document.weight_store.loads_per_s - older.loads_per_s)
        concurrent = max(1, document.weight_store.concurrent // zones)
        self._owner = ZoneOwner(self._zone, owner, rate / zones, concurrent, now)
        logs.event("owner_started", zone=self._zone, claim=owner.claim)

    def on_applied(self, record: Record, outcome: Outcome) -> None:
        """Process a record that this process appended and has read back."""
        with self._lock:
            owner = self._owner
            if owner is None:
                return
            if isinstance(record, FenceRaised) and outcome.applied:
                owner.note_fence(record.server, outcome.position)
            owner.note_applied(record)

    # Executing actions

    def _execute_actions(self, now: float) -> None:
        with self._lock, self._runtime.control.state() as state:
            actions = self._owner.tick(state, now) if self._owner else []
        for action in actions:
            if isinstance(action, Append):
                self._runtime.control.submit(action.record)
            else:
                self._executor.submit(self._send_order, self._owner, action)

    def _send_order(self, owner: ZoneOwner, action: SendOrder) -> None:
        """Send an order once.

        It counts as rejected only if it was not sent or the server's response says so.
        """
        server, order = action.server, action.order
        response = self._server_links.send_order(server, order, action.incarnation)
        outcome = self._order_outcome(response, server)
        is_rejected = outcome in ("refused", "not_sent")
        with self._lock:
            owner.note_order_response(server.name, order, is_rejected)
        self._record_order(server, order, outcome)

    def _order_outcome(
        self, response: http_client.HttpResponse | Failure, server: Server
    ) -> str:
        if isinstance(response, Failure):
            return response.kind.value
        if response.status == 200:
            return "accepted"
        return http_client.failure_from_response(
            response, "order", server.name
        ).kind.value

    def _record_order(self, server: Server, order: Order, outcome: str) -> None:
        self._runtime.metrics.order(order.action, outcome)
        fields = {
            "server": server.name,
            "action": order.action,
            "artifact": order.artifact,
            "holding": order.holding,
            "fence": order.fence,
            "outcome": outcome,
        }
        logs.event("order_sent", step="order", peer=server.name, **fields)
        self._runtime.journal.record(order.artifact or server.name, "order", **fields)

    # Polling servers and hosts

    def _poll_servers(self, document: Document, now: float) -> None:
        """Poll every server of the zone for a report, one call at a time for each."""
        for server in document.servers:
            if server.zone != self._zone or now < self._poll_at.get(server.name, 0.0):
                continue
            poll = self._polls.get(server.name)
            if poll is not None and not poll.done():
                continue
            self._poll_at[server.name] = now + REPORT_INTERVAL_S
            self._polls[server.name] = self._executor.submit(self._poll, server)
        self._gossip.publish_loads(dict(self._loads))

    def _poll(self, server: Server) -> None:
        report = self._server_links.report(server)
        if isinstance(report, Failure):
            self._loads.pop(server.name, None)
            logs.event(
                "no_report", "debug", peer=server.name, step="report", why=report.reason
            )
            return
        self._process_report(server, report)

    def _process_report(self, server: Server, report: Report) -> None:
        now = clock.monotonic_s()
        load = report.running + report.queued
        self._loads[server.name] = load
        with self._runtime.coordination() as coordination:
            coordination.servers.note_load(server.name, load, now)
            was_leaving = coordination.servers.is_leaving(server.name, now)
            coordination.servers.set_leaving(server.name, "report", report.leaving, now)
        if report.leaving and not was_leaving:
            logs.event("server_leaving", server=server.name, source="report")
            self._runtime.urgent_gossip.set()
        with self._lock:
            if self._owner is not None:
                self._owner.note_report(server.name, report, now)

    def _poll_host_list(self, now: float) -> None:
        """Start reading the platform's list of live and leaving hosts, if it is due."""
        if now < self._host_list_polled_at + HOST_LIST_INTERVAL_S:
            return
        self._host_list_polled_at = now
        self._executor.submit(self._read_host_list)

    def _read_host_list(self) -> None:
        response = http_client.call(
            "GET",
            self._runtime.settings.platform,
            "/hosts",
            step="host_list",
            headers={"X-Zone": self._zone},
            timeout_s=HOST_LIST_TIMEOUT_S,
        )
        document = self._runtime.document
        if isinstance(response, Failure) or response.status != 200 or not document:
            return
        states = {entry["address"]: entry["state"] for entry in response.json()}
        now = clock.monotonic_s()
        with self._runtime.coordination() as coordination:
            for server in document.servers:
                is_leaving = states.get(server.address) == "leaving"
                coordination.servers.set_leaving(
                    server.name, "platform", is_leaving, now
                )

    # Snapshots

    def _write_snapshots(self, document: Document) -> None:
        """Append snapshots well before the log drops the records that they replace.

        They are appended again even if nothing changes, since the log drops snapshots
        too.
        """
        interval_s = self._runtime.settings.limits.snapshot_interval_s
        rank = sorted(document.zones).index(self._zone)
        streams = (
            (self._runtime.keys, interval_s),
            (
                self._runtime.control,
                interval_s * (1 + SNAPSHOT_STAGGER_FRACTION * rank),
            ),
        )
        for stream, due_s in streams:
            is_due = stream.snapshot_age_s > due_s and stream.is_complete
            if (
                is_due
                and not stream.is_empty
                and not self._is_snapshot_pending(stream.name)
            ):
                pending = stream.submit(stream.snapshot())
                self._pending_snapshots[stream.name] = pending
                logs.event("snapshot_sent", stream=stream.name)

    def _is_snapshot_pending(self, stream: str) -> bool:
        pending = self._pending_snapshots.get(stream)
        return pending is not None and not pending.is_done
