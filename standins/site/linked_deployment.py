"""Deployments in which the servers or the store are behind links that can be disturbed.

Gateways are cut off from servers, or from the store, one by one, while callers and the
other gateways still reach them.
"""

from collections.abc import Iterable
from typing import Any

from standins.site.deployment import Gateway, SiteDeployment, free_port
from standins.soak.link import Cut, Link


class LinkedDeployment(SiteDeployment):
    """A deployment with links before its servers.

    :ivar server_links: The links by the servers' ids.
    """

    def __init__(self, *counts: int, **options: Any) -> None:
        super().__init__(*counts, **options)
        self.server_links: dict[str, Link] = {}

    async def _start_platform(self, engines: int, plain: int) -> None:
        await super()._start_platform(engines, plain)
        for backend in self.backends:
            link = Link(f"127.0.0.1:{free_port()}", backend.address)
            await link.start()
            self.server_links[backend.server] = link
            backend.public_address = link.address
            backend.register()

    async def _stop_platform(self) -> None:
        for link in self.server_links.values():
            await link.stop()
        await super()._stop_platform()

    def cut_off(self, gateways: Iterable[Gateway], cut: Cut) -> None:
        """Cut gateways off from all servers, until ``heal``."""
        processes = {gateway.process.pid for gateway in gateways}
        for link in self.server_links.values():
            self.call(link.cut_off, processes, cut)

    def silence(self, servers: Iterable[str]) -> None:
        """Hold all bytes from and to servers, until ``heal``."""
        for server in servers:
            self.call(self.server_links[server].block, "in", "out")

    def heal(self) -> None:
        """End all disturbances."""
        for link in self.server_links.values():
            self.call(link.heal)
            self.call(link.end_cut)


class LinkedStoreDeployment(SiteDeployment):
    """A deployment with a link between the gateways and the store.

    The servers and operators reach the store in any case.

    :ivar store_link: The link.
    """

    async def _start_platform(self, engines: int, plain: int) -> None:
        await super()._start_platform(engines, plain)
        self.store_link = Link(f"127.0.0.1:{free_port()}", self.store_address)
        await self.store_link.start()
        self.store_address = self.store_link.address

    async def _stop_platform(self) -> None:
        await self.store_link.stop()
        await super()._stop_platform()

    def silence_store(self) -> None:
        """Hold all bytes between the gateways and the store, until ``heal``."""
        self.call(self.store_link.block, "in", "out")

    def cut_off_store(self, gateways: Iterable[Gateway]) -> None:
        """Let the calls of gateways to the store stall, until ``heal``."""
        processes = {gateway.process.pid for gateway in gateways}
        self.call(self.store_link.cut_off, processes, Cut.SILENT)

    def heal(self) -> None:
        """End all disturbances."""
        self.call(self.store_link.heal)
        self.call(self.store_link.end_cut)
