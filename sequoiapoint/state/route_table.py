"""Lookup of routes by host name and longest path prefix."""

from sequoiapoint.protocol.gateway import GatewayConfiguration, Route


class RouteTable:
    """An index of a configuration's routes.

    Finding a route takes at most one lookup for each slash of the path, so the cost of
    a request does not grow with the number of routes, of which there may be hundreds.
    """

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in configuration.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

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
