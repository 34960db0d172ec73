"""Artifacts: the model and adapter versions that an engine loads."""

from dataclasses import dataclass

from sequoiapoint.protocol.document import Document


@dataclass(frozen=True)
class Artifact:
    """A version of a model or an adapter.

    :param artifact: The artifact id: name and version, such as ``desk-small@3``.
    :param mb: The memory that it needs, in megabytes.
    :param base: The artifact id of an adapter's base model; empty for a model.
    :param copies: The minimum number of servers in the home zone that hold it.
    """

    artifact: str
    name: str
    mb: int
    home_zone: str
    base: str = ""
    copies: int = 1


def artifact_id(name: str, version: str) -> str:
    """Return the artifact id of a name and a version."""
    return f"{name}@{version}"


def artifact_name(artifact: str) -> str:
    """Return the name of an artifact's model or adapter."""
    return artifact.rpartition("@")[0]


def current_artifacts(document: Document) -> dict[str, Artifact]:
    """Return the current version of every artifact by name, models first."""
    artifacts: dict[str, Artifact] = {}
    for model in document.models:
        artifacts[model.name] = Artifact(
            artifact=artifact_id(model.name, model.version),
            name=model.name,
            mb=model.memory_mb,
            home_zone=model.home_zone,
            copies=model.copies,
        )
    for adapter in document.adapters:
        base = artifacts[adapter.model]
        artifact = artifact_id(adapter.name, adapter.version)
        artifacts[adapter.name] = Artifact(
            artifact=artifact,
            name=adapter.name,
            mb=adapter.memory_mb,
            home_zone=base.home_zone,
            base=base.artifact,
            copies=base.copies,
        )
    return artifacts
