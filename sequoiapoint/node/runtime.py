"""The state that the components of an entry host share."""

import contextlib
import random
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field

from sequoiapoint.coordination.admission import Admission
from sequoiapoint.coordination.claims import ClaimTracker
from sequoiapoint.coordination.membership import Membership
from sequoiapoint.coordination.probes import ProbeSlotTable
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
    """The decision logic of the host, which does no I/O and is guarded by one lock."""

    membership: Membership
    servers: ServerTable
    quarantine: Quarantine
    admission: Admission
    retry_budget: RetryBudget
    claims: ClaimTracker
    probes: ProbeSlotTable
    rng: random.Random


@dataclass
class HostRuntime:
    """The state that the components of the process share.

    :param incarnation: Identifies this process in log records.
    :param coordination_unlocked: Accessed through :meth:`coordination` only.
    :param control: The stream of records that all zones share.
    :param keys: The stream of idempotency keys of this host's zone.
    :param is_leaving: Set once the process has begun to shut down.
    :param is_draining: Set once the process accepts no new requests.
    :param urgent_gossip: Set when gossip has to be sent immediately.
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
        """Give access to the decision logic; the lock is held within the block."""
        with self._lock:
            yield self.coordination_unlocked

    @property
    def document(self) -> Document | None:
        """Return the active configuration document."""
        with self.control.state() as state:
            return state.configuration.document

    @property
    def is_ready(self) -> bool:
        """Tell whether a load balancer should send requests to this host."""
        return self.document is not None and not self.is_leaving.is_set()
