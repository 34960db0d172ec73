"""The configuration in force, derived from the submitted documents.

A submission names the version that it is based on and is rejected if another one was
accepted in between, so all hosts resolve concurrent submissions alike.
"""

from dataclasses import asdict, dataclass
from typing import Any

import pydantic

from sequoiapoint.protocol import artifacts, invariants
from sequoiapoint.protocol.artifacts import Artifact
from sequoiapoint.protocol.document import Document
from sequoiapoint.protocol.records import DocumentSubmitted
from sequoiapoint.state.outcome import Outcome, applied, rejected

HISTORY_LENGTH = 50
"""Number of accepted versions in the history."""


@dataclass(frozen=True)
class Version:
    """An accepted version in the history.

    :param version: The position of the submission in the log.
    :param base: The version that the submission was based on.
    :param submission: The unique id of the submission.
    """

    version: int
    base: int
    operator: str
    submission: str


class Configuration:
    """The document in force and its history."""

    def __init__(self) -> None:
        self._version = 0
        self._document: Document | None = None
        self._artifacts: dict[str, Artifact] = {}
        self._history: list[Version] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self._version

    @property
    def document(self) -> Document | None:
        """Return the document in force."""
        return self._document

    @property
    def artifacts(self) -> dict[str, Artifact]:
        """Return the artifacts of the document in force, by name."""
        return self._artifacts

    @property
    def history(self) -> tuple[Version, ...]:
        """Return the accepted versions, newest last."""
        return tuple(self._history)

    def apply(self, position: int, record: DocumentSubmitted) -> Outcome:
        """Apply a submission.

        :param position: The position of the record; it becomes the version.
        """
        if any(v.submission == record.submission for v in self._history):
            return rejected(position, "already_accepted")
        if record.base != self._version:
            return rejected(position, "stale_base")
        try:
            document = Document.model_validate(record.document)
        except pydantic.ValidationError:
            return rejected(position, "invalid_document")
        is_newer = position > self._version
        if not invariants.check(is_newer, "configuration_reverted", str(position)):
            return rejected(position, "old_position")
        self._set_document(document)
        self._version = position
        entry = Version(position, record.base, record.operator, record.submission)
        self._history = [*self._history, entry][-HISTORY_LENGTH:]
        return applied(position)

    def _set_document(self, document: Document) -> None:
        """Set the document in force; its artifacts are looked up for each request."""
        self._document = document
        self._artifacts = artifacts.current_artifacts(document)

    def to_json(self) -> dict[str, Any]:
        """Return the state for a snapshot."""
        document = self._document
        return {
            "version": self._version,
            "document": document.model_dump() if document else None,
            "history": [asdict(v) for v in self._history],
        }

    @classmethod
    def from_json(cls, state: dict[str, Any]) -> "Configuration":
        """Restore the state from a snapshot."""
        result = cls()
        result._version = state["version"]
        if state["document"] is not None:
            result._set_document(Document.model_validate(state["document"]))
        result._history = [Version(**v) for v in state["history"]]
        return result
