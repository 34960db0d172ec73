"""Guards against two test processes that give their stand-ins the same ports."""

import os
import subprocess
import sys

from standins.site import deployment
from standins.site.deployment import (
    FIRST_PORT,
    PORTS_PER_SLICE,
    SLICE_COUNT,
    free_port,
)

PRINT_PORT = (
    "from standins.site.deployment import free_port;"
    "print(free_port(), flush=True); input()"
)


def slice_of(port):
    return (port - FIRST_PORT) // PORTS_PER_SLICE


def test_processes_with_the_same_number_modulo_the_slices_use_different_ports(
    monkeypatch,
):
    own = slice_of(free_port())
    monkeypatch.setattr(deployment, "_claims", {})
    monkeypatch.setattr(os, "getpid", lambda: SLICE_COUNT + own)
    other = slice_of(free_port())
    for _, claim in deployment._claims.values():
        claim.close()
    assert other != own


def test_ports_of_other_processes_are_not_used():
    others = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(4)
    ]
    slices = [slice_of(int(other.stdout.readline())) for other in others]
    for other in others:
        other.communicate(b"\n")
    assert len({*slices, slice_of(free_port())}) == len(others) + 1
