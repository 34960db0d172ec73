"""The four outcomes of a request and the error responses that report them."""

import enum
from dataclasses import dataclass


class RequestOutcome(enum.Enum):
    """The outcome of a request."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was not completed.

    Each reason has its HTTP status and its outcome.  A reason with the outcome REFUSED
    is only given if no backend server has acted on the request.
    """

    BAD_REQUEST = ("bad_request", 400, RequestOutcome.REFUSED)
    BODY_INCOMPLETE = ("body_incomplete", 400, RequestOutcome.REFUSED)
    BODY_TOO_LARGE = ("body_too_large", 413, RequestOutcome.REFUSED)
    BODY_TOO_SLOW = ("body_too_slow", 408, RequestOutcome.REFUSED)
    HEAD_TOO_LARGE = ("head_too_large", 431, RequestOutcome.REFUSED)
    CALLER_MEMORY = ("caller_memory", 503, RequestOutcome.REFUSED)
    UNKNOWN_MODEL = ("unknown_model", 404, RequestOutcome.REFUSED)
    UNKNOWN_SERVICE = ("unknown_service", 404, RequestOutcome.REFUSED)
    UNKNOWN_PROMISE = ("unknown_promise", 400, RequestOutcome.REFUSED)
    UNKNOWN_PATH = ("unknown_path", 404, RequestOutcome.REFUSED)
    UNAUTHORIZED = ("unauthorized", 401, RequestOutcome.REFUSED)
    KEY_EXPIRED = ("key_expired", 410, RequestOutcome.REFUSED)
    KEY_REUSED = ("key_reused", 422, RequestOutcome.REFUSED)
    NOT_READY = ("not_ready", 503, RequestOutcome.REFUSED)
    DRAINING = ("draining", 503, RequestOutcome.REFUSED)
    MODEL_LOADING = ("model_loading", 503, RequestOutcome.REFUSED)
    NO_SERVER = ("no_server", 503, RequestOutcome.REFUSED)
    SERVERS_REFUSED = ("servers_refused", 503, RequestOutcome.REFUSED)
    OVERLOAD = ("overload", 429, RequestOutcome.REFUSED)
    DEADLINE = ("deadline", 504, RequestOutcome.REFUSED)
    QUARANTINED = ("quarantined", 403, RequestOutcome.REFUSED)
    LOG_UNAVAILABLE = ("log_unavailable", 503, RequestOutcome.REFUSED)
    RETRY_BUDGET = ("retry_budget", 503, RequestOutcome.FAILED)
    SERVER_ERROR = ("server_error", 502, RequestOutcome.FAILED)
    SERVER_LOST = ("server_lost", 502, RequestOutcome.FAILED)
    CRASHED_SERVERS = ("crashed_servers", 502, RequestOutcome.FAILED)
    DEADLINE_RUNNING = ("deadline_running", 504, RequestOutcome.FAILED)
    CALLER_GONE = ("caller_gone", 499, RequestOutcome.FAILED)
    KEY_RUNNING = ("key_running", 409, RequestOutcome.UNKNOWN)
    OUTCOME_UNKNOWN = ("outcome_unknown", 502, RequestOutcome.UNKNOWN)

    def __init__(self, label: str, status: int, outcome: RequestOutcome) -> None:
        self.label = label
        self.status = status
        self.outcome = outcome

    @property
    def is_refusal(self) -> bool:
        """Tell whether the reason guarantees that the request was not executed."""
        return self.outcome is RequestOutcome.REFUSED


@dataclass(frozen=True)
class ErrorResponse:
    """A final response to a request that was not completed.

    :param reason: Why it was not completed.
    :param detail: An explanation for people.
    :param retry_after_s: The delay after which a retry may succeed, in seconds; None if
        a retry does not help.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def outcome(self) -> RequestOutcome:
        """Return the outcome that belongs to the reason."""
        return self.reason.outcome
