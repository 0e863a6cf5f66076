"""What a node derives from its settings: default profile, seeds, needed restart."""

import dataclasses

from comfreyusher.declarations import Detection, Profile, Retries
from comfreyusher.routing import DEFAULT_PROFILE
from comfreyusher.settings import Switch, parse_duration_ms

# Keeps retries below the configured share although owners count requests in time
# buckets and the owner of a group may change within the window.
RETRY_SHARE_SAFETY_FACTOR = 0.95
# Failure estimates deal with failures that last for seconds; ejection is for longer
# ones.
DEFAULT_PROFILE_DETECTION = Detection(
    evidence_to_eject=11.5, ejection_ms=2000, max_ejection_ms=2000
)


def default_profile(fleet):
    """Return the profile of the services that name no profile."""
    retries = Retries(
        budget_share=fleet.retry_share * RETRY_SHARE_SAFETY_FACTOR,
        budget_slack=int(fleet.retry_slack),
        window_ms=parse_duration_ms(fleet.retry_window),
    )
    return dataclasses.replace(
        Profile(DEFAULT_PROFILE),
        floor_share=fleet.floor_share,
        retries=retries,
        detection=DEFAULT_PROFILE_DETECTION,
    )


def plan_fields(fleet):
    """Return the settings that every plan hands to the owner of its group."""
    return {
        "fair_sharing": fleet.fair_sharing is Switch.ON,
        "hedge_share": fleet.hedge_share,
        "hedge_burst": fleet.hedge_burst,
    }


def find_seed_addresses(settings):
    """Return the addresses that seeds listen on for datagrams.

    For ``seeds`` these are their hosts, without this node's, with this node's gossip
    port: all nodes of a fleet listen on the same port. ``gossip_seeds`` are complete
    addresses.
    """
    own_host = settings.peers.advertised_host or settings.peers.host
    hosts = (seed.rpartition(":")[0] for seed in settings.fleet.seeds)
    addresses = tuple(
        (host, settings.peers.gossip_port) for host in hosts if host != own_host
    )
    return addresses + tuple(
        _parse_address(text) for text in settings.fleet.gossip_seeds
    )


def list_fields_for_restart(before, after):
    """Return the names of settings that changed and need a restart.

    Only the fleet's settings take effect without one.
    """
    return [
        field.name
        for field in dataclasses.fields(after)
        if field.name != "fleet"
        and getattr(after, field.name) != getattr(before, field.name)
    ]


def _parse_address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)
