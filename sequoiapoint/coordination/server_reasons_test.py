"""The reasons for which a server gets a request or not."""

import math

import pytest

from sequoiapoint.coordination.server_reasons import (
    ServerFigures,
    ServerReason,
    server_reason,
)

LIMITED = {"limit_per_s": 2.0}


@pytest.mark.parametrize(
    ("figures", "reason"),
    [
        ({}, "candidate"),
        ({"is_chosen": True}, "chosen"),
        ({"is_chosen": True, "is_avoided": True}, "chosen"),
        ({"is_ready": False, "holds_model": False}, "draining"),
        ({"holds_model": False, "holds_adapter": False}, "model_not_held"),
        ({"holds_adapter": False, "back_off_s": 1.0}, "adapter_not_held"),
        ({"is_unreachable": True, "can_serve": False, "leaving_s": 0.3}, "unreachable"),
        ({"is_unreachable": True, "is_avoided": True}, "avoided"),
        ({"leaving_s": 0.3, "can_serve": False, "back_off_s": 1.0}, "leaving"),
        ({"leaving_s": 0.3}, "candidate"),
        ({"back_off_s": 0.5, "can_serve": False}, "back_off"),
        ({"can_serve": False}, "excluded"),
        (LIMITED | {"permit_wait_s": 0.4}, "no_permit"),
        (LIMITED | {"permit_wait_s": math.inf, "is_avoided": True}, "no_permit"),
        (LIMITED, "needs_permit"),
        ({"capacity_refusal": "servers_full", "is_avoided": True}, "servers_full"),
        ({"capacity_refusal": "no_connection", "needs_slot": True}, "no_connection"),
        ({"capacity_refusal": "engine_reads"}, "engine_reads"),
        ({"needs_slot": True}, "needs_slot"),
        ({"is_avoided": True}, "avoided"),
    ],
)
def test_the_first_reason_that_applies_decides(figures, reason):
    """Guards against a reason that the selection would not have come to."""
    assert server_reason(ServerFigures("s", "z", 8, **figures)) is ServerReason(reason)
