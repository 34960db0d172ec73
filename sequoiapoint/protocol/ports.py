"""What the gateway asks of a deployment's adapter.

An adapter translates names, formats and calls; it decides nothing.  The gateway
imports these protocols, and the command line hands it an adapter that implements
them.
"""

from typing import Protocol

from sequoiapoint.protocol.gateway import (
    CallerRequest,
    EngineReport,
    GatewayConfiguration,
    GroupMembership,
    Order,
    OrderResult,
    ResponseHead,
    ServerEntry,
    StoreRecord,
    Unreadable,
)

Headers = list[tuple[bytes, bytes]]


class HttpCall:
    """One call as method, target, headers and body."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers or []
        self.body = body


class CallerCodec(Protocol):
    """Translates callers' requests and what they are answered."""

    def readiness_path(self) -> str:
        """Return the path at which the balancer asks whether the host is ready."""

    def decode_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest | None:
        """Decode a request; None where it bears no request id."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the gateway's own."""


class ServerCodec(Protocol):
    """Translates what servers are sent and what they answer."""

    def request_head(
        self,
        request: CallerRequest,
        entry: ServerEntry,
        remaining_s: float,
        priority: int | None,
        last_event_id: str,
    ) -> bytes:
        """Encode the head of a request to a server."""

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of an answer."""

    def order_call(self, entry: ServerEntry, order: Order) -> HttpCall:
        """Encode an order to an engine."""

    def order_result(self, status: int) -> OrderResult:
        """Decode an engine's answer to an order."""

    def report_call(self, entry: ServerEntry) -> HttpCall:
        """Encode a question for an engine's report."""

    def decode_report(self, body: bytes) -> EngineReport | Unreadable:
        """Decode an engine's report."""


class StoreCodec(Protocol):
    """Translates the calls to the platform's store."""

    def newest_call(self, topic: str, after: str | None) -> HttpCall:
        """Encode a question for the newest record of each key of a topic."""

    def decode_newest(self, body: bytes) -> tuple[list[StoreRecord], int, bool]:
        """Return the records, the topic's end and whether more pages follow."""

    def read_call(self, topic: str, offset: int, wait_s: float) -> HttpCall:
        """Encode a read that waits for records."""

    def decode_read(self, topic: str, offset: int, body: bytes) -> list[StoreRecord]:
        """Return the records that a read brought."""

    def put_call(self, topic: str, key: str, value: bytes) -> HttpCall:
        """Encode the write of one keyed record."""

    def join_call(
        self, group: str, topic: str, member: str, lease_s: float, generation: int
    ) -> HttpCall:
        """Encode joining a group, or staying in it."""

    def decode_join(self, body: bytes) -> GroupMembership:
        """Decode the answer to joining."""

    def leave_call(self, group: str, member: str) -> HttpCall:
        """Encode leaving a group."""

    def configuration_topic(self) -> str:
        """Return the topic with the operators' configuration."""

    def server_topic(self) -> str:
        """Return the topic with the servers' entries."""

    def decode_configuration(
        self, record: StoreRecord
    ) -> GatewayConfiguration | Unreadable | None:
        """Decode a configuration; None where the record is about something else."""

    def decode_server(self, record: StoreRecord) -> ServerEntry | Unreadable:
        """Decode a server's entry."""


class DeploymentAdapter(Protocol):
    """A deployment's codecs."""

    callers: CallerCodec
    servers: ServerCodec
    store: StoreCodec
