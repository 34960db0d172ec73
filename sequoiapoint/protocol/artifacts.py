"""Artifacts: what an engine loads, a version of a model or of an adapter."""

from dataclasses import dataclass

from sequoiapoint.protocol.document import Document


@dataclass(frozen=True)
class Artifact:
    """A version of a model or of an adapter.

    :param artifact: The name and version, as in ``desk-small@3``.
    :param base: The artifact of the base model of an adapter, else empty.
    :param copies: How many servers of the home zone hold it at the least.
    """

    artifact: str
    name: str
    mb: int
    home_zone: str
    base: str = ""
    copies: int = 1


def artifact_id(name: str, version: str) -> str:
    """Return the artifact of a name and a version."""
    return f"{name}@{version}"


def artifact_name(artifact: str) -> str:
    """Return the name of the model or adapter."""
    return artifact.rpartition("@")[0]


def current_artifacts(document: Document) -> dict[str, Artifact]:
    """Return every artifact in its current version, by name, models first."""
    result: dict[str, Artifact] = {}
    for model in document.models:
        result[model.name] = Artifact(
            artifact=artifact_id(model.name, model.version),
            name=model.name,
            mb=model.memory_mb,
            home_zone=model.home_zone,
            copies=model.copies,
        )
    for adapter in document.adapters:
        base = result[adapter.model]
        full = artifact_id(adapter.name, adapter.version)
        result[adapter.name] = Artifact(
            artifact=full,
            name=adapter.name,
            mb=adapter.memory_mb,
            home_zone=base.home_zone,
            base=base.artifact,
            copies=base.copies,
        )
    return result
