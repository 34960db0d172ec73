"""The HTTP interface for operators: configuration, status, drain and decisions."""

import hashlib
import hmac
import threading
import uuid
from dataclasses import asdict
from typing import Any

from werkzeug.wrappers import Request, Response

from sequoiapoint.node.responses import json_response, render_error
from sequoiapoint.node.runtime import HostRuntime
from sequoiapoint.protocol import jsonc
from sequoiapoint.protocol.document import Document
from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.protocol.records import DocumentSubmitted
from sequoiapoint.state.configuration import Configuration
from sequoiapoint.transport import clock, logs

SUBMIT_TIMEOUT_S = 5.0
BASE_HEADER = "X-Base-Version"
SUBMISSION_HEADER = "X-Submission-Id"


class OperatorApp:
    """Handles requests from operators.

    :param runtime: The shared state of the process.
    """

    def __init__(self, runtime: HostRuntime) -> None:
        self._runtime = runtime
        self._drain_requested = threading.Event()

    @property
    def drain_requested(self) -> threading.Event:
        """Return the event that is set when an operator requests a drain."""
        return self._drain_requested

    def authenticate(self, request: Request) -> str | None:
        """Return the name of the operator whose token the request has, or None."""
        header = request.headers.get("Authorization", "")
        token = header.removeprefix("Bearer ").encode()
        digest = hashlib.sha256(token).hexdigest()
        for operator in self._runtime.settings.operators:
            if hmac.compare_digest(digest, operator.token_sha256):
                return operator.name
        return None

    def _unauthorized(self, request_id: str) -> Response:
        detail = "an operator's token is needed"
        return render_error(ErrorResponse(Reason.UNAUTHORIZED, detail), request_id)

    def show_configuration(self, request: Request, request_id: str) -> Response:
        """Return the active configuration document and its version."""
        if self.authenticate(request) is None:
            return self._unauthorized(request_id)
        with self._runtime.control.state() as state:
            configuration = state.configuration
            document = configuration.document
            return json_response(
                {
                    "version": configuration.version,
                    "document": document.model_dump() if document else None,
                }
            )

    def show_history(self, request: Request, request_id: str) -> Response:
        """Return the accepted versions of the configuration."""
        if self.authenticate(request) is None:
            return self._unauthorized(request_id)
        with self._runtime.control.state() as state:
            history = [asdict(v) for v in state.configuration.history]
        return json_response({"history": history})

    def submit(self, request: Request, request_id: str) -> Response:
        """Submit a document and return what is known of its acceptance."""
        operator = self.authenticate(request)
        if operator is None:
            return self._unauthorized(request_id)
        base = request.headers.get(BASE_HEADER, "")
        if not base.isdigit():
            detail = f"{BASE_HEADER} has to name the version that the document replaces"
            return render_error(ErrorResponse(Reason.BAD_REQUEST, detail), request_id)
        loaded = jsonc.load_text(request.get_data(as_text=True), "document", Document)
        if loaded.errors:
            errors = [asdict(e) for e in loaded.errors]
            return json_response({"result": "invalid", "errors": errors}, 422)
        submission = request.headers.get(SUBMISSION_HEADER, uuid.uuid4().hex)
        return json_response(
            *self.submit_document(loaded.value, int(base), operator, submission)
        )

    def submit_document(
        self, document: Document, base: int, operator: str, submission: str
    ) -> tuple[dict[str, Any], int]:
        """Append a document to the log and wait until it is read back.

        :return: The response body and its HTTP status.  The result is accepted,
            rejected, not sent or not known yet.
        """
        record = DocumentSubmitted(base, document.model_dump(), operator, submission)
        pending = self._runtime.control.submit(record)
        logs.event("document_submitted", operator=operator, submission=submission)
        outcome = pending.result(SUBMIT_TIMEOUT_S)
        if outcome is None:
            if pending.cancel():
                return {"result": "not_sent", "submission": submission}, 503
            return {"result": "not_known_yet", "submission": submission}, 202
        with self._runtime.control.state() as state:
            configuration = state.configuration
            accepted = _accepted_version(configuration, submission)
            if accepted is not None:
                return {"result": "accepted", "version": accepted}, 200
            return {
                "result": "rejected",
                "reason": outcome.reason,
                "version": configuration.version,
                "changed_by": [
                    asdict(v) for v in configuration.history if v.version > base
                ],
            }, 409

    def show_submission(
        self, _request: Request, request_id: str, submission: str
    ) -> Response:
        """Return whether a submission was accepted, and as which version."""
        del request_id
        with self._runtime.control.state() as state:
            version = _accepted_version(state.configuration, submission)
        result = "accepted" if version is not None else "not_in_force"
        return json_response({"result": result, "version": version})

    def status(self, _request: Request, _request_id: str) -> Response:
        """Return the state of this host and its view of the cluster."""
        with self._runtime.control.state() as state:
            version = state.configuration.version
            owners = {zone: asdict(o) for zone, o in state.owners.items()}
            holdings = [asdict(h) for h in state.ledger.holdings]
        with self._runtime.coordination() as coordination:
            now = clock.monotonic_s()
            members = [asdict(m) for m in coordination.membership.alive(now)]
            leaving = list(coordination.servers.leaving_servers(now))
            quarantined = [
                s.fingerprint
                for s in coordination.quarantine.suspicions(now)
                if s.is_quarantined
            ]
        return json_response(
            {
                "host": self._runtime.settings.host,
                "zone": self._runtime.settings.zone,
                "incarnation": self._runtime.incarnation,
                "ready": self._runtime.is_ready,
                "configuration_version": version,
                "log_staleness_s": round(self._runtime.control.staleness_s, 3),
                "owners": owners,
                "holdings": holdings,
                "members": members,
                "leaving_servers": leaving,
                "quarantined": quarantined,
            }
        )

    def explain(self, _request: Request, _request_id: str, subject: str) -> Response:
        """Return the decisions on a request, artifact or server, and its copies."""
        entries = [asdict(e) for e in self._runtime.journal.entries(subject)]
        with self._runtime.control.state() as state:
            copies = [
                asdict(h)
                for h in state.ledger.holdings
                if subject in (h.artifact, h.artifact.rpartition("@")[0], h.server)
            ]
        return json_response(
            {"subject": subject, "decisions": entries, "copies": copies}
        )

    def drain(self, request: Request, request_id: str) -> Response:
        """Start a graceful shutdown."""
        if self.authenticate(request) is None:
            return self._unauthorized(request_id)
        self._drain_requested.set()
        return json_response({"result": "draining"})


def _accepted_version(configuration: Configuration, submission: str) -> int | None:
    """Return the version that a submission was accepted as, or None."""
    for entry in configuration.history:
        if entry.submission == submission:
            return entry.version
    return None
