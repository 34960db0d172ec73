"""Addresses of processes in settings and documents."""

import pydantic

Address = pydantic.constr(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its IP address and its port.

    :param address: For example ``127.0.0.1:8080``.
    :return: The IP address and the port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
