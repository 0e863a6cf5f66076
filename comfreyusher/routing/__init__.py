"""From a request to its service, route and customer."""

from comfreyusher.routing._table import (
    Match,
    RoutingTable,
    build_table,
    find_customer,
    find_route,
)

__all__ = ["Match", "RoutingTable", "build_table", "find_customer", "find_route"]
