"""Adapter to the users' platform: names, formats and calls, and no decision."""

from sequoiapoint.platform.callers import PlatformCallerCodec
from sequoiapoint.platform.servers import PlatformServerCodec
from sequoiapoint.platform.store import PlatformStoreCodec


class PlatformAdapter:
    """The codecs of the users' platform."""

    def __init__(self) -> None:
        self.callers = PlatformCallerCodec()
        self.servers = PlatformServerCodec()
        self.store = PlatformStoreCodec()
