import contextlib
import random
from types import SimpleNamespace

from sequoiapoint.coordination.admission import Admission
from sequoiapoint.coordination.quarantine import Quarantine
from sequoiapoint.coordination.retries import RetryBudget
from sequoiapoint.coordination.routing import Candidate
from sequoiapoint.coordination.servers import EJECT_AFTER_FAILURES, ServerTable
from sequoiapoint.node import chat_run
from sequoiapoint.node.attempt import Completed
from sequoiapoint.node.chat_run import ChatRun
from sequoiapoint.node.context import RequestContext
from sequoiapoint.protocol.chat import ChatEvent, ChatRequest
from sequoiapoint.protocol.document import Promise
from sequoiapoint.transport import clock

SERVERS = [Candidate(f"engine-{i}", "north", "127.0.0.1:1") for i in range(3)]
LAST_EVENT = ChatEvent(b"", "r", 0, "", "stop")


class CompletedAttempt:
    """An attempt that returns a complete response."""

    incarnation = "1"
    position = 1
    outcome = Completed()

    def __init__(self, *_):
        pass

    def events(self):
        yield LAST_EVENT


class FakeRuntime:
    settings = SimpleNamespace(zone="north")
    metrics = SimpleNamespace(first_token=lambda *_: None)
    journal = SimpleNamespace(record=lambda *_, **__: None)

    def __init__(self):
        self._coordination = SimpleNamespace(
            servers=ServerTable(),
            quarantine=Quarantine(),
            admission=Admission(),
            retry_budget=RetryBudget(10.0),
            rng=random.Random(1),
        )

    @contextlib.contextmanager
    def coordination(self):
        yield self._coordination


def test_complete_response_resets_failure_count_of_server(monkeypatch):
    runtime = FakeRuntime()
    monkeypatch.setattr(chat_run, "Attempt", CompletedAttempt)
    monkeypatch.setattr(chat_run, "model_candidates", lambda *_: SERVERS[:1])
    servers = runtime._coordination.servers
    now = clock.monotonic_s()
    for _ in range(EJECT_AFTER_FAILURES - 1):
        servers.record_failure("engine-0", now)
    chat = ChatRequest(model="m", messages=[{"role": "user", "content": "x"}])
    promise = Promise(name="p", deadline_ms=9_000)
    context = RequestContext("r", "c", promise, now, now + 9.0)
    assert list(ChatRun(runtime, None, chat, context, "f").events()) == [LAST_EVENT]
    servers.record_failure("engine-0", now)
    names = [c.server for c in SERVERS]
    assert servers.usable(names, now) == names
