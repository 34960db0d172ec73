"""The command ``explain``: its forms, and the table of ``--would``."""

import json

import pytest

from sequoiapoint.cli import exit_codes, remote
from sequoiapoint.cli.main import main
from sequoiapoint.transport.http_client import HttpResponse

ADDRESS = ["--address", "127.0.0.1:1"]
NOT_READY = {
    "host": {"name": "h-0", "zone": "z0", "configuration": None, "is_draining": True},
    "route": None,
    "admission": {"is_admitted": False, "reason": "no_configuration", "status": 503},
    "decision": {
        **{"step": "refuse", "reason": "no_configuration", "server": ""},
        **{"servers": [], "allocator": "", "allocator_zone": ""},
        **{"predicted_wait_s": None, "wait_limit_s": None},
    },
    "servers": [],
}


@pytest.mark.parametrize(
    ("arguments", "path", "status", "code"),
    [
        (["lm-1"], "/admin/explain/lm-1", 404, exit_codes.FAILED),
        (["--would", "--path", "/a b"], "/explain?path=%2Fa+b", 200, exit_codes.OK),
        (["--would", "--route", "r"], "/explain?route=r", 400, exit_codes.INVALID),
        (["--would", "lm-1"], None, 0, exit_codes.INVALID),
        (["lm-1", "--model", "oak"], None, 0, exit_codes.INVALID),
        ([], None, 0, exit_codes.INVALID),
    ],
)
def test_each_form_calls_its_own_path(
    monkeypatch, capsys, arguments, path, status, code
):
    """Guards against a subject that is ignored, or looked up at a gateway."""
    calls = []

    def call(arguments, method, path):
        calls.append(path)
        return HttpResponse(status, body=json.dumps(NOT_READY).encode())

    monkeypatch.setattr(remote, "call", call)
    assert main(["explain", *arguments, *ADDRESS]) == code
    assert calls == ([] if path is None else [path])
    if code == exit_codes.OK:
        out = capsys.readouterr().out.splitlines()
        assert out[0] == "host h-0  zone z0  no configuration yet  draining"
        assert out[1:] == [
            "rejected: no_configuration (503)",
            "refuse  no_configuration",
        ]
