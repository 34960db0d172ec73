"""Deployment adapter for the users' platform: wire names, formats and calls."""

from sequoiapoint.platform.callers import PlatformCallerCodec
from sequoiapoint.platform.servers import PlatformServerCodec
from sequoiapoint.platform.store import PlatformStoreCodec


class PlatformAdapter:
    """The codecs for the users' platform."""

    def __init__(self) -> None:
        self.callers = PlatformCallerCodec()
        self.servers = PlatformServerCodec()
        self.store = PlatformStoreCodec()
