"""Looks up the route, service, profile, customer and account of a request."""

from comfreyusher.routing._client_accounts import AccountTableBuilder
from comfreyusher.routing._table import (
    DEFAULT_PROFILE,
    Match,
    RoutingTable,
    choose_part,
    find_client_account,
    find_customer,
    find_customer_by_host,
    find_profile,
    find_route,
    has_client_accounts,
    has_routes,
    set_published_routes,
    update_table,
)

__all__ = [
    "AccountTableBuilder",
    "DEFAULT_PROFILE",
    "Match",
    "RoutingTable",
    "choose_part",
    "find_client_account",
    "find_customer",
    "find_customer_by_host",
    "find_profile",
    "find_route",
    "has_client_accounts",
    "has_routes",
    "set_published_routes",
    "update_table",
]
