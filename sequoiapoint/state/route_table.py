"""Routes of one configuration, found by host name and longest prefix."""

from sequoiapoint.protocol.gateway import GatewayConfiguration, Route


class RouteTable:
    """An index over a configuration's routes.

    Finding a route takes one look-up for each slash of the path, so that the growth of
    a configuration by hundreds of routes costs a request nothing.
    """

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: The host name, in lower case and without a port.
        :param path: The path without its query.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
