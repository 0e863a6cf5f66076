"""Lookup tables for routes, customers and profiles.

A lookup costs one dictionary access per path segment, whatever the number of
routes, and one per key for customers and client accounts.
"""

import dataclasses
import types
from typing import Any

import immutables
import xxhash

from comfreyusher.declarations import Part, Profile, digest_key
from comfreyusher.flow import replace
from comfreyusher.routing._client_accounts import (
    AccountTables,
    empty_table_field,
    update_account_tables,
)

DEFAULT_PROFILE = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """The route of a request, the service chosen for it, and its profile.

    ``profile`` is ``None`` when the service names one that is not declared.
    ``route_key`` is the same for all requests of a route.
    """

    route: Any
    route_key: str
    service: str
    profile: Profile | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A route, its key, and the parts that its requests are split among."""

    route: Any
    route_key: str
    parts: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """Tables built from the declarations and the platform's routes.

    ``routes`` maps ``(host, prefix)`` to a tuple of ``(service, Rule)`` of the
    declarations, ``published_routes`` maps it to the ``Rule`` that the platform
    publishes. ``services`` and ``profiles`` map names to declarations,
    ``customers`` key digests and ``hosts`` hosts to customer names. ``entries``
    and ``offset`` are those of the declarations, ``version`` is that of the
    platform's routes. ``client_accounts`` maps keys, and ``client_accounts_by_name``
    names to the client accounts of the same version. ``longest_route`` and
    ``longest_published`` are the lengths of the longest prefixes in the two tables, or
    more.
    """

    routes: immutables.Map = immutables.Map()
    published_routes: immutables.Map = immutables.Map()
    services: immutables.Map = immutables.Map()
    profiles: immutables.Map = immutables.Map()
    customers: immutables.Map = immutables.Map()
    hosts: immutables.Map = immutables.Map()
    entries: immutables.Map = immutables.Map()
    offset: int = 0
    version: int = 0
    longest_route: int = 0
    longest_published: int = 0
    default_profile: Profile = Profile(DEFAULT_PROFILE)
    client_accounts: types.MappingProxyType = empty_table_field()
    client_accounts_by_name: types.MappingProxyType = empty_table_field()


def update_table(table, declarations):
    """Return the table updated to the current declarations.

    Only entries that changed since the last update are processed, so that a
    change costs the same with ten routes and with 33,000.
    """
    entries = declarations.entries
    for key in _changed_keys(table, declarations):
        table = _replace_entry(table, table.entries.get(key), entries[key])
    return replace(table, entries=entries, offset=declarations.offset)


def set_published_routes(table, configuration, accounts=None):
    """Return the table with the routes and client accounts that the platform publishes.

    ``configuration`` is the ``PlatformConfiguration``. A route that did not change
    keeps its ``Rule`` object, and entries of accounts that did not change are kept.
    ``accounts`` are the ``AccountTables`` of the configuration if they are built.
    """
    rules = {}
    for route in configuration.routes:
        key = (route.host, route.prefix)
        known = table.published_routes.get(key)
        same = known is not None and known.route == route
        rules[key] = known if same else _build_rule(route, route.parts)
    published_routes = immutables.Map(rules)
    table = replace(
        table,
        published_routes=published_routes,
        longest_published=max((len(prefix) for _, prefix in rules), default=0),
        version=configuration.version,
    )
    if accounts is None:
        known = AccountTables(table.client_accounts, table.client_accounts_by_name)
        accounts = update_account_tables(known, configuration.client_accounts)
    return replace(
        table,
        client_accounts=accounts.by_key,
        client_accounts_by_name=accounts.by_name,
    )


def find_route(table, method, host, target, token=""):
    """Return the ``Match`` with the longest prefix, or ``None``.

    ``token`` selects a part of a split route, by the weights of the parts.
    """
    rule = _find_rule(table, method, host, _parse_path(target))
    if rule is None:
        return None
    service = choose_part(rule.parts, token)
    profile = find_profile(table, service)
    return Match(rule.route, rule.route_key, service, profile)


def _find_rule(table, method, host, path):
    longest_end = _find_longest_prefix(table, path)
    for name in (host, ""):
        end = longest_end
        while end > 0:
            prefix = path[:end]
            rule = table.published_routes.get((name, prefix))
            if rule is not None:
                return rule
            for _, rule in table.routes.get((name, prefix.rstrip("/") or "/"), ()):
                if not rule.route.methods or method in rule.route.methods:
                    return rule
            end = _find_shorter_prefix(path, end)
    return None


def _find_longest_prefix(table, path):
    """Return the end of the longest prefix of a path that a route can match.

    Callers choose the length of a path, and a longer prefix than those in the
    tables matches none of them, except that routes of declarations ignore slashes
    at its end: for these, the prefix with one slash more stands for all with more.
    """
    longest = max(table.longest_route, table.longest_published)
    if len(path) <= longest:
        return len(path)
    if path[longest] == "/":
        return longest + 1
    return path.rfind("/", 0, longest) + 1


def _find_shorter_prefix(path, end):
    """Return the end of the next shorter prefix of a path.

    Each prefix is tried with its final slash and then without it.
    """
    if path[end - 1] == "/":
        return end - 1
    return path.rfind("/", 0, end) + 1


def choose_part(parts, token):
    """Return the service of a token, chosen by a hash and the parts' weights."""
    total = sum(part.weight for part in parts)
    if len(parts) == 1 or not total:
        return parts[0].service
    point = xxhash.xxh64_intdigest(token.encode()) % total
    for part in parts:
        if point < part.weight:
            return part.service
        point -= part.weight
    return parts[-1].service


def find_profile(table, service):
    """Return the profile of a service, or ``None`` if it is not declared.

    A service without a declaration has the profile named default.
    """
    declared = table.services.get(service)
    name = declared.profile if declared else DEFAULT_PROFILE
    profile = table.profiles.get(name)
    if profile is None and name == DEFAULT_PROFILE:
        return table.default_profile
    return profile


def has_routes(table):
    """Tell whether the table has any route."""
    return bool(table.published_routes) or bool(table.routes)


def find_customer(table, key):
    """Return the name of the customer that owns a key, or ``None``."""
    return table.customers.get(digest_key(key))


def find_customer_by_host(table, host):
    """Return the name of the customer that owns a host, or an empty string."""
    return table.hosts.get(host, "")


def find_client_account(table, key):
    """Return the ``ClientAccount`` that owns a key, or ``None``."""
    return table.client_accounts.get(key)


def has_client_accounts(table):
    """Tell whether requests need the key of a client account."""
    return bool(table.client_accounts_by_name)


def _parse_path(target):
    path = target.partition("?")[0]
    if not path.startswith("/"):
        path = "/" + path.partition("://")[2].partition("/")[2]
    return path


def _build_rule(route, parts):
    route_key = xxhash.xxh32_hexdigest(f"{route.host}{route.prefix}".encode())
    return Rule(route, route_key, parts)


def _changed_keys(table, declarations):
    """Return the keys of entries that the table does not hold yet."""
    changes = declarations.changes
    if changes and changes[0].offset <= table.offset:
        recent = (change.key for change in changes if change.offset > table.offset)
        return tuple(dict.fromkeys(recent))
    return tuple(
        key
        for key, entry in declarations.entries.items()
        if key not in table.entries or table.entries[key].record is not entry.record
    )


def _replace_entry(table, before, after):
    kind = after.record.kind
    if kind == "profile":
        profiles = table.profiles.set(after.value.name, after.value)
        return replace(table, profiles=profiles)
    old = before.value if before else None
    if kind == "customer":
        return _replace_customer(table, old, after.value)
    return _replace_service(table, old, after.value)


def _replace_customer(table, before, after):
    old = (before.key_digests, before.hosts) if before else ((), ())
    new = ((), ()) if after.closed else (after.key_digests, after.hosts)
    return replace(
        table,
        customers=_replace_keys(table.customers, old[0], new[0], after.name),
        hosts=_replace_keys(table.hosts, old[1], new[1], after.name),
    )


def _replace_keys(known, before, after, name):
    """Return the map with the keys of one customer replaced."""
    for key in before:
        if known.get(key) == name:
            known = known.delete(key)
    for key in after:
        if key not in known:
            known = known.set(key, name)
    return known


def _replace_service(table, before, after):
    routes, longest = table.routes, table.longest_route
    for route in before.routes if before else ():
        key = (route.host, route.prefix.rstrip("/") or "/")
        remaining = tuple(pair for pair in routes.get(key, ()) if pair[0] != after.name)
        if remaining:
            routes = routes.set(key, remaining)
        elif key in routes:
            routes = routes.delete(key)
    for route in after.routes:
        key = (route.host, route.prefix.rstrip("/") or "/")
        parts = route.parts or (Part(after.name, 1),)
        pairs = routes.get(key, ()) + ((after.name, _build_rule(route, parts)),)
        routes = routes.set(key, tuple(sorted(pairs, key=lambda pair: pair[0])))
        longest = max(longest, len(key[1]))
    services = table.services.set(after.name, after)
    return replace(table, routes=routes, services=services, longest_route=longest)
