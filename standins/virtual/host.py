"""A simulated entry host: the product's decision code, driven by timed events."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass

from sequoiapoint.coordination import rendezvous
from sequoiapoint.coordination.claims import ClaimDecision, ClaimTracker
from sequoiapoint.coordination.log_client import LogClient, PendingRecord
from sequoiapoint.coordination.membership import Membership
from sequoiapoint.coordination.ownership import Candidacy
from sequoiapoint.coordination.zone_owner import Append, SendOrder, ZoneOwner
from sequoiapoint.protocol.member import Member
from sequoiapoint.protocol.records import (
    CONTROL_STREAM,
    DocumentSubmitted,
    FenceRaised,
    KeyClaimed,
    KeySettled,
    Snapshot,
    decode_batch,
    keys_stream,
)
from sequoiapoint.state.control import ControlState
from sequoiapoint.state.keys import KeyEntry, KeyState
from standins.virtual.backends import FakeEngine, FakeService
from standins.virtual.log import FakeLog
from standins.virtual.mutations import Mutations
from standins.virtual.world import World

TICK_INTERVAL_S = 0.25
CLAIM_TIMEOUT_S = 4.0
KEY_LIFETIME_MS = 3_600_000
SNAPSHOT_RECORDS = 100
EPOCH_MS = 1_700_000_000_000


@dataclass
class IdempotentAttempt:
    """One attempt of a request that may run at most once.

    :param key: The idempotency key, which all attempts of the request share.
    :param home_zone: The zone whose key stream decides on claims to the key.
    :param on_outcome: Called with the outcome that the caller receives.
    """

    key: str
    attempt_id: str
    home_zone: str
    on_outcome: Callable[[str], None]


class VirtualHost:
    """One process of an entry host.

    :param peers: All hosts by name, including this one.
    :ivar versions: The configuration versions that came into force in this process,
        each with the time.
    """

    def __init__(
        self,
        world: World,
        log: FakeLog,
        engines: dict[str, FakeEngine],
        service: FakeService,
        peers: dict[str, "VirtualHost"],
        name: str,
        zone: str,
        incarnation: int,
        mutations: Mutations,
    ) -> None:
        self._world = world
        self._log = log
        self._engines = engines
        self._service = service
        self._peers = peers
        self._mutations = mutations
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.is_alive = True
        self._paused_until = 0.0
        now = world.clock.now
        local_member = Member(name, incarnation, 0, zone, name, name)
        seeds = [other for other in sorted(peers) if other != name]
        self.membership = Membership(local_member, seeds, now)
        self._candidacy = Candidacy(self.membership, now)
        self.control = LogClient(
            mutations.control_state(),
            ControlState.from_json,
            name,
            str(incarnation),
        )
        self.keys = LogClient(KeyState(), KeyState.from_json, name, str(incarnation))
        self._claims = ClaimTracker()
        self._owner: ZoneOwner | None = None
        self._read_back_callbacks: dict[PendingRecord, Callable[[], None]] = {}
        self._records_since_snapshot = 0
        self._is_snapshot_pending = False
        self.versions: list[tuple[float, int]] = []
        world.clock.schedule_after(world.rng.uniform(0, TICK_INTERVAL_S), self._tick)

    # Process state

    @property
    def is_paused(self) -> bool:
        """Tell whether the process is paused."""
        return self._world.clock.now < self._paused_until

    @property
    def version(self) -> int:
        """Return the configuration version in force on this host."""
        return self.control.state.configuration.version

    def pause(self, seconds: float) -> None:
        """Pause the process; events that fall due meanwhile run afterwards."""
        self._world.counts["hosts paused"] += 1
        self._paused_until = self._world.clock.now + seconds

    def kill(self) -> None:
        """Kill the process."""
        self._world.counts["hosts killed"] += 1
        self.is_alive = False

    def _schedule(self, event: Callable[[], None], delay: float = 0.0) -> None:
        """Run an event after a delay, once no longer paused; never after a kill."""

        def run() -> None:
            if not self.is_alive:
                return
            if self.is_paused:
                self._world.clock.schedule_at(self._paused_until, run)
                return
            event()

        self._world.clock.schedule_after(delay, run)

    def _tick(self) -> None:
        if not self.is_alive:
            return
        now = self._world.clock.now
        if not self.is_paused:
            self._replicate(self.control, CONTROL_STREAM)
            self._replicate(self.keys, keys_stream(self.zone))
            self._record_version()
            self._append_pending(self.control, CONTROL_STREAM, now)
            self._append_pending(self.keys, keys_stream(self.zone), now)
            self._send_gossip(now)
            self._control_zone(now)
        self._world.clock.schedule_after(TICK_INTERVAL_S, self._tick)

    def _record_version(self) -> None:
        now = self._world.clock.now
        last = self.versions[-1][1] if self.versions else 0
        if self.version < last:
            self._world.record_violation("configuration", f"{self.name} reverted")
        if self.version != last:
            self.versions.append((now, self.version))

    # The log

    def _replicate(self, client: LogClient, stream: str) -> None:
        page = self._log.read(self.zone, stream, client.next_offset)
        if page is None:
            self._restore_from_peers(client, stream)
            return
        first, records = page
        if first > client.next_offset and not self._restore_across_gap(
            client, first, records
        ):
            return
        for offset, data in records:
            for applied in client.apply(offset, data):
                if stream == CONTROL_STREAM:
                    self._on_applied(applied)
                callback = self._read_back_callbacks.pop(applied.pending_record, None)
                if callback is not None:
                    callback()

    def _restore_across_gap(
        self, client: LogClient, first: int, records: list[tuple[int, str]]
    ) -> bool:
        """Restore the first snapshot that covers the records no longer retained."""
        for _offset, data in records:
            for envelope in decode_batch(data):
                record = envelope.record
                if isinstance(record, Snapshot) and record.next_offset >= first:
                    self._world.counts["snapshots adopted"] += 1
                    return client.restore_if_newer(record)
        return False

    def _restore_from_peers(self, client: LogClient, stream: str) -> None:
        """Restore the state from peers, as a new host does during a log outage."""
        if client.next_offset > 0 or stream != CONTROL_STREAM:
            return
        for peer in self._peers.values():
            is_running = peer.is_alive and not peer.is_paused and peer is not self
            if is_running and not self._world.is_partitioned(self.zone, peer.zone):
                client.restore_if_newer(peer.control.snapshot())

    def _on_applied(self, applied: object) -> None:
        envelope, outcome = applied.envelope, applied.outcome
        self._records_since_snapshot += 1
        if isinstance(envelope.record, Snapshot):
            self._records_since_snapshot = 0
            self._is_snapshot_pending = False
        is_own = envelope.incarnation == str(self.incarnation)
        if self._owner is None or not is_own or envelope.host != self.name:
            return
        if isinstance(envelope.record, FenceRaised) and outcome.applied:
            self._owner.note_fence(envelope.record.server, outcome.position)
        self._owner.note_applied(envelope.record)

    def _append_pending(self, client: LogClient, stream: str, now: float) -> None:
        data = client.next_append(now)
        if data is not None:
            self._schedule(
                lambda: self._log.append(self.zone, stream, data, lambda _ok: None)
            )

    # Gossip and ownership

    def _send_gossip(self, now: float) -> None:
        for address, members in self.membership.tick(now):
            peer = self._peers[address]
            self._world.send(
                self.zone, peer.zone, lambda p=peer, m=members: p.handle_gossip(m)
            )

    def handle_gossip(self, members: tuple[Member, ...]) -> None:
        """Merge the member list of a gossip message."""
        if self.is_alive and not self.is_paused:
            self.membership.merge(members, self._world.clock.now)

    def _control_zone(self, now: float) -> None:
        state = self.control.state
        owner = state.owner(self.zone)
        claim = self._candidacy.claim(owner, now)
        if claim is not None:
            self.control.submit(claim)
        if not self._candidacy.is_owner(owner):
            self._owner = None
            return
        if self._owner is None or self._owner.claim != owner.claim:
            self._world.counts["owners"] += 1
            self._owner = self._mutations.zone_owner(self.zone, owner, now)
        for engine in self._engines.values():
            report = engine.report() if engine.zone == self.zone else None
            if report is not None:
                self._owner.note_report(engine.name, report, now)
        for action in self._owner.tick(state, now):
            if isinstance(action, Append):
                self.control.submit(action.record)
            else:
                delay = self._world.rng.expovariate(1 / 0.05)
                self._schedule(lambda a=action: self._send_order(a), delay)
        self._write_snapshot()

    def _write_snapshot(self) -> None:
        if (
            self._records_since_snapshot > SNAPSHOT_RECORDS
            and not self._is_snapshot_pending
        ):
            self._is_snapshot_pending = True
            self.control.submit(self.control.snapshot())

    def _send_order(self, action: SendOrder) -> None:
        """Send an order; a stale owner may have been paused since it decided on it."""
        owner = self._owner
        engine = self._engines[action.server.name]

        def on_response(result: str) -> None:
            if owner is not None and self.is_alive:
                is_rejected = result in ("refused", "not_sent")
                owner.note_order_response(engine.name, action.order, is_rejected)

        is_same_process = engine.incarnation == action.incarnation
        if not is_same_process and not self._mutations.ignores_incarnation:
            self._world.clock.schedule_after(0.1, lambda: on_response("not_sent"))
            return
        engine.send_order(action.order, on_response)

    # Operators

    def submit_document(
        self, document: dict, base: int, on_result: Callable[[str, int], None]
    ) -> None:
        """Submit a document and report the result once the record is read back."""
        submission = uuid.UUID(int=self._world.rng.getrandbits(128)).hex
        record = DocumentSubmitted(base, document, self.name, submission)
        pending_record = self.control.submit(record)

        def read_back() -> None:
            for entry in self.control.state.configuration.history:
                if entry.submission == submission:
                    on_result("accepted", entry.version)
                    return
            on_result("rejected", self.version)

        self._read_back_callbacks[pending_record] = read_back

    # Requests that may run at most once

    def run_idempotent(self, attempt: IdempotentAttempt) -> None:
        """Run a request under a claim, as an entry host does."""
        nonce = uuid.UUID(int=self._world.rng.getrandbits(128)).hex
        self._claims.register(nonce)
        now_ms = EPOCH_MS + int(self._world.clock.now * 1000)
        record = KeyClaimed(
            key=attempt.key,
            host=self.name,
            incarnation=str(self.incarnation),
            expires_at_ms=EPOCH_MS + KEY_LIFETIME_MS,
            claimed_at_ms=now_ms,
            body_hash=attempt.key,
            nonce=nonce,
        )
        is_claim_open = [True]

        def on_entry(entry: KeyEntry | None) -> None:
            if is_claim_open[0] and self.is_alive:
                is_claim_open[0] = False
                self._on_entry(attempt, nonce, entry)

        def on_timeout() -> None:
            if is_claim_open[0]:
                is_claim_open[0] = self._mutations.skips_abandon
                self._mutations.abandon_claim(self._claims, nonce)
                self._settle(attempt, nonce, "not_run")
                attempt.on_outcome("refused")

        if self._mutations.skips_read_back:
            self._schedule(lambda: self._dispatch(attempt, nonce))
            is_claim_open[0] = False
        self._submit_key(attempt.home_zone, record, on_entry)
        self._schedule(on_timeout, CLAIM_TIMEOUT_S)

    def _on_entry(
        self, attempt: IdempotentAttempt, nonce: str, entry: KeyEntry | None
    ) -> None:
        if entry is None:
            self._claims.abandon(nonce)
            attempt.on_outcome("refused")
            return
        is_alive = self.membership.is_incarnation_alive(
            entry.host, entry.incarnation, self._world.clock.now
        )
        decision = self._mutations.decide(entry, nonce, attempt.key, is_alive)
        if decision is ClaimDecision.DISPATCH:
            delay = self._world.rng.expovariate(1 / 0.02)
            self._schedule(lambda: self._dispatch(attempt, nonce), delay)
            return
        self._claims.remove(nonce)
        outcomes = {ClaimDecision.REPLAY: "done", ClaimDecision.RUN_FAILED: "failed"}
        attempt.on_outcome(outcomes.get(decision, "unknown"))

    def _dispatch(self, attempt: IdempotentAttempt, nonce: str) -> None:
        """Run the request on the service unless its claim was abandoned.

        The service's outcome ``not_run`` is reported as ``refused``: both mean that the
        request certainly did not run.
        """
        if not self._claims.dispatch(nonce):
            attempt.on_outcome("unknown")
            return

        def on_outcome(outcome: str) -> None:
            if not self.is_alive:
                return
            self._settle(attempt, nonce, outcome)
            attempt.on_outcome("refused" if outcome == "not_run" else outcome)

        self._service.run(attempt.key, attempt.attempt_id, on_outcome)

    def _settle(self, attempt: IdempotentAttempt, nonce: str, outcome: str) -> None:
        record = KeySettled(key=attempt.key, nonce=nonce, fate=outcome)
        self._submit_key(attempt.home_zone, record, lambda _entry: None)

    def _submit_key(
        self,
        home_zone: str,
        record: KeyClaimed | KeySettled,
        on_entry: Callable[[KeyEntry | None], None],
    ) -> None:
        """Have a host of the home zone append a record and reply with its read-back."""
        now = self._world.clock.now
        hosts = [m.host for m in self.membership.serving(now, home_zone)]
        batcher = rendezvous.highest(record.key, hosts)
        if batcher is None:
            self._schedule(lambda: on_entry(None), 0.1)
            return
        peer = self._peers[batcher]

        def reply(entry: KeyEntry | None) -> None:
            self._world.send(peer.zone, self.zone, lambda: on_entry(entry))

        if peer is self:
            self.append_key_record(record, on_entry)
            return
        self._world.send(
            self.zone, peer.zone, lambda: peer.append_key_record(record, reply)
        )

    def append_key_record(
        self,
        record: KeyClaimed | KeySettled,
        reply: Callable[[KeyEntry | None], None],
    ) -> None:
        """Append a key record for a peer, and reply once it is read back."""
        if not self.is_alive or self.is_paused:
            return
        pending_record = self.keys.submit(record)
        self._read_back_callbacks[pending_record] = lambda: reply(
            self.keys.state.get(record.key)
        )
