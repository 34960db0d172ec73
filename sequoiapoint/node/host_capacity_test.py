from sequoiapoint.node.host_capacity import caller_memory_bytes
from sequoiapoint.protocol.gateway_settings import GatewaySettings

ADDRESS = "127.0.0.1:1"


def settings(**changes):
    addresses = ("caller_address", "readiness_address", "peer_address")
    names = (*addresses, "metrics_address", "store")
    return GatewaySettings(
        host="h", zone="z", **dict.fromkeys(names, ADDRESS), **changes
    )


def test_memory_that_is_not_set_is_that_of_the_machine():
    assert caller_memory_bytes(settings(memory_mb=300)) == 75_000_000
    assert caller_memory_bytes(settings()) > 0
