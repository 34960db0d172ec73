"""Keeps the age of the configuration known, with questions to other hosts.

Requests with a key are admitted only while the age is below a bound.  So a key that was
withdrawn stops working everywhere, also at hosts that are cut off or were suspended.
``coordination.configuration_age`` says what is evidence, ``coordination.age_inquiry``
whom a host asks.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable
from functools import singledispatchmethod

from sequoiapoint.coordination.age_inquiry import AgeInquirer, Inquiry, View
from sequoiapoint.coordination.configuration_age import STORE, ConfigurationAge
from sequoiapoint.coordination.entry import is_too_old
from sequoiapoint.node.datagrams import decode_datagram
from sequoiapoint.node.digest_sender import DigestSender
from sequoiapoint.node.gateway_state import GatewayState
from sequoiapoint.node.store_watch import StoreWatch, TopicWatch
from sequoiapoint.protocol.configuration_age import (
    MAX_VERSION,
    NUMBER_BITS,
    AgeMessage,
    AgeNotice,
    AgeQuestion,
    AgeReply,
    decode_age_message,
    encode_age_message,
)
from sequoiapoint.protocol.digests import Member
from sequoiapoint.state.peers import Peer, Peers
from sequoiapoint.transport.clock import (
    monotonic_s,
    pause_to_tick_s,
    since_boot_s,
)
from sequoiapoint.transport.store_client import StoreClient

STEP_SHARE = 0.02
"""Interval at which the age is checked, as a share of the bound, unless it is low."""
INACTIVE_INTERVAL_S = 0.5
"""The same while there is no bound."""
READ_TIMEOUT_SHARE = 0.1
"""Timeout of a read of the store, as a share of the bound."""
FETCH_TIMEOUT_SHARE = 0.1
"""Timeout of a fetch of a newer configuration, as a share of the bound."""
RECORD_SHARE = 0.1
"""Interval at which the age is recorded in the metrics, as a share of the bound."""
NOTICE_GAIN_SHARE = 0.05
"""How much younger the configuration of the sender of a notice must be for this host to
ask it, as a share of the bound."""

Fetch = Callable[[TopicWatch, Peer, float, bool], Awaitable[bool]]


class ConfigurationAgeExchange:
    """Asks other hosts for the age of the configuration, and replies to them.

    :param fetch: Fetches a topic from a host with a timeout in seconds, and without
        waiting for a change there.
    """

    def __init__(
        self,
        state: GatewayState,
        store: StoreClient,
        watch: StoreWatch,
        peers: Peers,
        sender: DigestSender,
        fetch: Fetch,
    ) -> None:
        self._state = state
        self._watch = watch
        self._peers = peers
        self._sender = sender
        self._fetch = fetch
        self._age = ConfigurationAge()
        self._inquirer = AgeInquirer(state.rng.random)
        # By number: when the question left, and the host that was asked.
        self._questions: dict[int, tuple[float, Member]] = {}
        # The other zone whose reply has last helped this host.
        self._helpful_zone = ""
        self._read: asyncio.Task[None] | None = None
        self._fetch_task: asyncio.Task[bool] | None = None
        self._is_too_old = False
        self._recorded_at = -math.inf
        self._store = store
        store.on_era_change.append(self._note_era)
        watch.configuration.on_read = self._note_store_read
        state.configuration_age_s = self.age_s

    @property
    def is_active(self) -> bool:
        """Tell whether the age of the configuration is bounded."""
        configuration = self._state.configuration
        return (
            self._state.settings.bounds.key_revocation_s is not None
            and configuration is not None
            and configuration.organisations is not None
        )

    def age_s(self) -> float:
        """Return for how long a newer configuration may have been missed, in seconds.

        :return: 0 while the age is not bounded, infinity while nothing is known.
        """
        if not self.is_active:
            return 0.0
        self._age.note_version(self._version)
        return self._age.age_s(since_boot_s())

    async def run(self) -> None:
        """Ask and read until the process stops."""
        while True:
            bound_s = self._state.settings.bounds.key_revocation_s
            if bound_s is None:
                await asyncio.sleep(INACTIVE_INTERVAL_S)
                continue
            calm_s = self.step(bound_s)
            await asyncio.sleep(max(calm_s, pause_to_tick_s(STEP_SHARE * bound_s)))

    def step(self, bound_s: float) -> float:
        """Ask other hosts and begin a read of the store, if either is due.

        A host that starts asks before it knows the configuration.

        :param bound_s: Time after which a withdrawn key must not be accepted.
        :return: The time for which nothing will be due, in seconds.
        """
        if not self.is_active and self._state.configuration is not None:
            return 0.0
        now = since_boot_s()
        self._age.note_version(self._version)
        calm_s = self._inquirer.calm_s(self._age.age_s(now), bound_s)
        if not calm_s:
            self._inquire(bound_s, now)
        if self.is_active:
            self._observe(bound_s, now)
        return calm_s

    def _inquire(self, bound_s: float, now: float) -> None:
        inquiry = self._inquirer.decide(self._view(bound_s, now), now)
        if inquiry.asks:
            self._ask(self._targets(inquiry), now)
        if inquiry.reads_store and (self._read is None or self._read.done()):
            loop = asyncio.get_running_loop()
            self._read = loop.create_task(self.read_store(bound_s))

    async def read_store(self, bound_s: float) -> None:
        """Read the store; if that helps, tell the relays of the zone.

        :param bound_s: Time after which a withdrawn key must not be accepted.
        """
        if not self._watch.configuration.content.is_known:
            return
        known = self._age.complete_until
        await self._watch.configuration.refresh(READ_TIMEOUT_SHARE * bound_s)
        is_newer = self._age.source == STORE and self._age.complete_until > known
        self._inquirer.note_read(is_newer, self._is_reader())
        self._state.metrics.event("configuration_age_read")
        if is_newer:
            self._notify_relays()

    def _notify_relays(self) -> None:
        """Tell the relays of the zone to ask this host."""
        age_s = self._age.age_s(since_boot_s())
        notice = encode_age_message(AgeNotice(self._state.settings.host, age_s))
        self._sender.forward(notice, self._peers.own_relays(monotonic_s()))

    @property
    def _version(self) -> int:
        """Return the version of the configuration in force, -1 if there is none."""
        configuration = self._state.configuration
        return -1 if configuration is None else configuration.version

    def _is_reader(self) -> bool:
        return not self._watch.reads_via_relay()

    def _view(self, bound_s: float, now: float) -> View:
        at = monotonic_s()
        own, members = self._state.settings.host, self._peers.listed_members()
        return View(
            self._age.age_s(now),
            bound_s,
            self._peers.is_aggregator(at),
            self._peers.is_relay(at),
            self._is_reader(),
            members.index(own) if own in members else 0,
            max(1, len(members)),
            self._age.do_reads_count(now),
        )

    def _note_era(self) -> None:
        self._age.note_era(self._store.era, since_boot_s())

    def _note_store_read(self, started_at: float) -> None:
        self._age.note_read(started_at)

    # Questions

    def _targets(self, inquiry: Inquiry) -> Iterable[Member]:
        now = monotonic_s()
        own_zone = self._sender.local_member.zone
        relays = list(self._peers.own_relays(now))
        aggregator = self._peers.zone_aggregator(own_zone, now)
        if aggregator is None:
            aggregator = relays[0]
        members = {}
        if inquiry.asks_aggregator:
            members[aggregator.address] = aggregator
        if inquiry.asks_standby:
            members |= {relay.address: relay for relay in relays}
        zones = [zone for zone in self._peers.zones(now) if zone != own_zone]
        if inquiry.asks_other_zone and zones:
            for zone in {self._state.rng.choice(zones), self._helpful_zone} & {*zones}:
                members |= {m.address: m for m in self._peers.relays(zone, now)}
        members.pop(self._sender.local_member.address, None)
        return members.values()

    def _ask(self, members: Iterable[Member], now: float) -> None:
        bound_s = self._state.settings.bounds.key_revocation_s or math.inf
        self._questions = {
            number: (asked_at, member)
            for number, (asked_at, member) in self._questions.items()
            if now - asked_at < bound_s
        }
        for member in members:
            number = self._state.rng.getrandbits(NUMBER_BITS)
            self._questions[number] = (now, member)
            question = AgeQuestion(number, self._state.settings.host)
            self._sender.forward(encode_age_message(question), [member])

    # Messages

    def handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and handle a message about ages."""
        message = decode_datagram(
            self._state, decode_age_message, data, address, "age_message"
        )
        if message is not None:
            self._handle(message, Member("", "", "{}:{}".format(*address)))

    @singledispatchmethod
    def _handle(self, message: AgeMessage, sender: Member) -> None:
        raise TypeError(f"not a message about ages: {type(message).__name__}")

    @_handle.register
    def _(self, message: AgeQuestion, sender: Member) -> None:
        self._age.note_version(self._version)
        age_s = self._age.age_s(since_boot_s())
        if not math.isfinite(age_s) or not 0 <= self._version <= MAX_VERSION:
            return
        reply = AgeReply(message.number, self._version, age_s)
        self._sender.forward(encode_age_message(reply), [sender])

    @_handle.register
    def _(self, message: AgeReply, sender: Member) -> None:
        asked_at, member = self._questions.pop(message.number, (None, sender))
        if asked_at is None:
            return
        own_zone = self._sender.local_member.zone
        is_newer = self._age.note_reply(
            message.version,
            asked_at - message.age_s,
            member.host or member.address,
            self._version,
        )
        was_old = self._inquirer.is_old
        self._inquirer.note_reply(is_newer)
        if is_newer and was_old and member.zone not in ("", own_zone):
            self._helpful_zone = member.zone
            self._notify_relays()
        if message.version > self._version:
            self._fetch_from(member)

    @_handle.register
    def _(self, message: AgeNotice, sender: Member) -> None:
        bound_s = self._state.settings.bounds.key_revocation_s
        now = since_boot_s()
        if bound_s is None or self._age.age_s(now) - message.age_s < (
            NOTICE_GAIN_SHARE * bound_s
        ):
            return
        self._ask([self._peers.member(message.host) or sender], now)

    def _fetch_from(self, member: Member) -> None:
        """Fetch the configuration from a host that has a newer one."""
        peer = self._peers.peer(member.host)
        is_running = self._fetch_task is not None and not self._fetch_task.done()
        bound_s = self._state.settings.bounds.key_revocation_s
        if peer is None or is_running or bound_s is None:
            return
        timeout_s = FETCH_TIMEOUT_SHARE * bound_s
        fetch = self._fetch(self._watch.configuration, peer, timeout_s, False)
        self._fetch_task = asyncio.get_running_loop().create_task(fetch)

    # Logs and metrics

    def _observe(self, bound_s: float, now: float) -> None:
        """Record the age, and log when requests begin or end to be rejected for it."""
        age_s = self._age.age_s(now)
        if now - self._recorded_at >= RECORD_SHARE * bound_s:
            self._recorded_at = now
            self._state.metrics.configuration_age(age_s)
        if is_too_old(age_s, bound_s) == self._is_too_old:
            return
        self._is_too_old = not self._is_too_old
        outcome = "too_old" if self._is_too_old else "fresh"
        self._state.metrics.event(f"configuration_{outcome}")
        self._state.log.event(
            "configuration_age",
            outcome,
            age_ms=round(1000 * age_s) if math.isfinite(age_s) else None,
            source=self._age.source,
            version=self._version,
            can_read=self._age.do_reads_count(now),
        )
