"""Decides whom a host asks for the age of the configuration.

In calm operation a host asks the aggregator of its zone, which reads the store.  It
asks more widely when there is no reply, or when its configuration becomes old, and
reads the store itself last.

Answers a store that fails for some or all hosts while a withdrawn key must stop working
everywhere.  Hosts that all turned to the store at once would add a load that grows with
the hosts to a store in trouble.  The relays of a zone turn to it first, then the other
hosts one after the other, so that one host that is still served finds out in time;
after that round a zone tries it at a fixed rate.  A host that is served goes on reading
for its zone until others have newer evidence.
"""

from collections.abc import Callable
from dataclasses import dataclass

ASK_SHARE = 0.33
"""Age from which on a host asks the aggregator of its zone, as a share of the bound.  A
poll of the reader later than the one that the host knows of has ended by then, so that
each question brings newer evidence."""
ASK_SPREAD_SHARE = 0.03
"""Part of the bound over which the hosts of a zone ask."""
WIDE_SHARE = 0.42
"""Age from which on a host asks more widely, as a share of the bound: in calm operation
two questions may be lost before."""
ASK_AGAIN_SHARE = 0.05
"""Minimum interval between questions, as a share of the bound."""
LATE_ASK_SHARE = 0.1
"""The same once the configuration has been old for longer than the bound."""
RELAY_READ_SHARE = 0.05
"""Time for which questions must have been in vain before a relay reads the store, as a
share of the bound."""
SWEEP_SHARE = 0.1
"""The same for the first host that is no relay."""
SWEEP_SPREAD_SHARE = 0.25
"""Time over which the hosts of a zone turn to the store, as a share of the bound: with
the shares above, the last one still has a quarter of the bound to tell the others."""
READ_RETRY_SHARE = 0.15
"""Minimum interval between a host's reads, as a share of the bound."""
PROBES_PER_S = 2.0
"""Rate at which the hosts of a zone that are no relays try the store once each of them
has tried it in vain."""
SUPPLY_SHARE = 0.25
"""Age at which a host whose last read has helped reads again, as a share of the
bound."""
SUPPLIER_ASK_SHARE = 0.2
"""Age from which on such a host asks the aggregator, which may read the store again."""


@dataclass(frozen=True)
class View:
    """What a host knows.

    :param age_s: The age of its configuration, in seconds.
    :param bound_s: Time after which a withdrawn key must not be accepted, in seconds.
    :param is_aggregator: Whether it is the aggregator of its zone.
    :param is_relay: Whether it is a relay of its zone.
    :param is_reader: Whether it reads the store regularly.
    :param position: Its position in the order of its zone.
    :param hosts: The number of hosts of its zone.
    :param do_reads_count: Whether a read of the store would be evidence.
    """

    age_s: float
    bound_s: float
    is_aggregator: bool = False
    is_relay: bool = False
    is_reader: bool = False
    position: int = 0
    hosts: int = 1
    do_reads_count: bool = True


@dataclass(frozen=True)
class Inquiry:
    """What a host does now.

    :param asks_aggregator: Whether it asks the aggregator of its zone.
    :param asks_standby: Whether it asks the other relays of its zone.
    :param asks_other_zone: Whether it asks the relays of another zone.
    :param reads_store: Whether it reads the store.
    """

    asks_aggregator: bool = False
    asks_standby: bool = False
    asks_other_zone: bool = False
    reads_store: bool = False

    @property
    def asks(self) -> bool:
        """Tell whether any host is asked."""
        return self.asks_aggregator or self.asks_standby or self.asks_other_zone


class AgeInquirer:
    """Decides on the questions and reads of one host.

    :param random: Returns random numbers from 0 to 1.
    """

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._ask_share = ASK_SHARE
        self._ask_at = 0.0
        self._read_at = 0.0
        self._unanswered = 0
        self._old_since: float | None = None
        # Since when the configuration is old although reads of the store would count.
        self._unread_since: float | None = None
        self._has_read = False
        self._is_supplier = False

    @property
    def is_old(self) -> bool:
        """Tell whether this host asks more widely, by the last decision."""
        return self._old_since is not None

    def calm_s(self, age_s: float, bound_s: float) -> float:
        """Return for how long the configuration is too young for a decision.

        :param age_s: Its age, in seconds.
        :param bound_s: Time after which a withdrawn key must not be accepted.
        :return: 0 if a decision is due, otherwise the time in seconds.
        """
        share = SUPPLIER_ASK_SHARE if self._is_supplier else self._ask_share
        if age_s > share * bound_s:
            return 0.0
        self._note_young()
        return share * bound_s - age_s

    def decide(self, view: View, now: float) -> Inquiry:
        """Return what to do now; what is returned counts as done.

        :param now: The time in seconds, which may be on any clock.
        """
        share = view.age_s / view.bound_s
        is_old = share > WIDE_SHARE
        if not is_old:
            self._note_young()
        else:
            self._old_since = now if self._old_since is None else self._old_since
            if self._unread_since is None and view.do_reads_count:
                self._unread_since = now
        reads_store = self._reads_store(view, now)
        ask_share = SUPPLIER_ASK_SHARE if self._is_supplier else self._ask_share
        is_due = is_old or (share > ask_share and not view.is_aggregator)
        if now < self._ask_at or not is_due:
            return Inquiry(reads_store=reads_store)
        self._ask_at = now + self._interval_s(view, now)
        self._ask_share = ASK_SHARE + ASK_SPREAD_SHARE * self._random()
        asks_far = is_old and (view.is_relay or not self._is_late(view, now))
        unanswered, self._unanswered = self._unanswered, self._unanswered + 1
        return Inquiry(
            asks_aggregator=not view.is_aggregator,
            asks_standby=is_old or unanswered > 0,
            asks_other_zone=asks_far or unanswered > 1,
            reads_store=reads_store,
        )

    def note_reply(self, is_newer: bool) -> None:
        """Note a reply to a question.

        :param is_newer: Whether it brought newer evidence than this host had.
        """
        self._unanswered = 0
        self._is_supplier = self._is_supplier and not is_newer

    def note_read(self, is_newer: bool, is_reader: bool) -> None:
        """Note the end of a read of the store that was asked for.

        :param is_newer: Whether it brought newer evidence than this host had.
        :param is_reader: Whether this host reads the store regularly.
        """
        self._is_supplier = is_newer and not is_reader

    def _note_young(self) -> None:
        self._old_since = self._unread_since = None
        self._has_read = False

    def _interval_s(self, view: View, now: float) -> float:
        """Return the minimum time until the next questions."""
        is_late = self._is_late(view, now)
        return view.bound_s * (LATE_ASK_SHARE if is_late else ASK_AGAIN_SHARE)

    def _is_late(self, view: View, now: float) -> bool:
        """Tell whether the configuration has been old for longer than the bound.

        Requests with a key are rejected by then.  Questions are fewer, so that a long
        outage of the store costs less, and only relays ask other zones.
        """
        return self._old_since is not None and now - self._old_since > view.bound_s

    def _reads_store(self, view: View, now: float) -> bool:
        if not view.do_reads_count or now < self._read_at:
            return False
        if self._is_supplier and view.age_s > SUPPLY_SHARE * view.bound_s:
            self._read_at = now + READ_RETRY_SHARE * view.bound_s
            return True
        if self._unread_since is None:
            return False
        takes_turns = not (view.is_relay or view.is_reader)
        # Hosts that take turns must not all read when reads begin to count.
        delay_share, since = RELAY_READ_SHARE, self._old_since
        if takes_turns and not self._has_read:
            delay_share = SWEEP_SHARE + SWEEP_SPREAD_SHARE * view.position / view.hosts
            since = self._unread_since
        if now - since < delay_share * view.bound_s:
            return False
        pause_s = READ_RETRY_SHARE * view.bound_s
        if takes_turns:
            pause_s += 2.0 * self._random() * view.hosts / PROBES_PER_S
        self._read_at = now + pause_s
        self._has_read = True
        return True
