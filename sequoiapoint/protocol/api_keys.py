"""Digests of callers' keys.

Only digests are kept beyond the decoding of a message, so that no key can reach a log
or a metric.  A look-up by digest takes the same time for every wrong key.
"""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 16
LABEL_CHARACTERS = 8
"""Length of the label that stands for a key in logs."""
MAX_LABELS = 20
"""Number of labels in one line of a log."""


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is looked up."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def key_label(digest: bytes) -> str:
    """Return what stands for a key in logs; "" without a key."""
    return digest.hex()[:LABEL_CHARACTERS]


def key_labels(digests: Iterable[bytes]) -> str:
    """Return the labels of keys for a line of a log, at most ``MAX_LABELS``."""
    labels = sorted(key_label(digest) for digest in digests)
    return ",".join(labels[:MAX_LABELS])
