"""Looks up the route, service, profile and customer of a request."""

from comfreyusher.routing._table import (
    DEFAULT_PROFILE,
    Match,
    RoutingTable,
    choose_part,
    find_customer,
    find_customer_by_host,
    find_profile,
    find_route,
    has_routes,
    set_published_routes,
    update_table,
)

__all__ = [
    "DEFAULT_PROFILE",
    "Match",
    "RoutingTable",
    "choose_part",
    "find_customer",
    "find_customer_by_host",
    "find_profile",
    "find_route",
    "has_routes",
    "set_published_routes",
    "update_table",
]
