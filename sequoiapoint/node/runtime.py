"""What the parts of an entry host share: its identity, decisions and streams."""

import contextlib
import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field

from sequoiapoint.coordination.admission import Admission
from sequoiapoint.coordination.claims import ClaimTracker
from sequoiapoint.coordination.membership import Membership
from sequoiapoint.coordination.probes import ProbeTable
from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.coordination.retries import RetryBudget
from sequoiapoint.coordination.servers import ServerTable
from sequoiapoint.node.journal import Journal
from sequoiapoint.node.log_stream import LogStream
from sequoiapoint.protocol.document import Document
from sequoiapoint.protocol.settings import Settings
from sequoiapoint.transport.metrics import Metrics


@dataclass
class CoordinationState:
    """The pure decision makers; they are used under one lock."""

    membership: Membership
    servers: ServerTable
    quarantine: Quarantine
    admission: Admission
    retry_budget: RetryBudget
    claims: ClaimTracker
    probes: ProbeTable
    rng: random.Random


@dataclass
class HostRuntime:
    """Everything that the parts of the process share.

    :param incarnation: This process, as it stands in the log.
    :param is_leaving: Set once the process is to stop.
    :param is_draining: Set once it takes no new requests.
    :param urgent_gossip: Set when peers have to be told something at once.
    """

    settings: Settings
    incarnation: str
    coordination_unlocked: CoordinationState
    metrics: Metrics
    journal: Journal
    control: LogStream
    keys: LogStream
    is_leaving: threading.Event = field(default_factory=threading.Event)
    is_draining: threading.Event = field(default_factory=threading.Event)
    urgent_gossip: threading.Event = field(default_factory=threading.Event)
    _lock: threading.RLock = field(default_factory=threading.RLock)

    @contextlib.contextmanager
    def coordination(self) -> Iterator[CoordinationState]:
        """Lend the decision makers for the length of a block."""
        with self._lock:
            yield self.coordination_unlocked

    @property
    def document(self) -> Document | None:
        """Return the configuration in force."""
        with self.control.state() as state:
            return state.configuration.document

    @property
    def is_ready(self) -> bool:
        """Tell whether a balancer should send callers here."""
        return self.document is not None and not self.is_leaving.is_set()
