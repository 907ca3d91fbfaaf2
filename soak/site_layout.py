"""The deployment of a site's day: its machines and servers, each with a loopback address of its own."""

import os
from itertools import count
from typing import NamedTuple

from soak.layout import CONTROL_PORT, FRONT_PORT, OPERATOR_PORT, STORE_PORT
from soak.site import ServiceGroup, Site

# Blocks of addresses, one for each kind of endpoint; a long list goes on in the blocks after its first.
NODE_BLOCK, SERVER_BLOCK, STORE_BLOCK = 10, 40, 80
STORE_LINK_BLOCK, FRONT_LINK_BLOCK = 90, 120
ADDRESSES_IN_BLOCK = 250
# A machine gets this many seed addresses at most.
MAX_SEEDS = 3
Endpoint = tuple[str, int]


class SiteNode(NamedTuple):
    """A machine that runs a gateway node; a ``spare`` one joins during a day."""

    number: int
    name: str
    zone: str
    region: str
    ip: str
    memory_mb: int
    descriptors: int
    cores: int
    cpu_share: float
    link_mbps: float
    spare: bool


class SiteServer(NamedTuple):
    """The place of a server; a ``later`` one starts when the index is cut anew.

    ``group`` is the name of its service group, which is also the service unless the group has copies.
    """

    slot: int
    service: str
    group: str
    zone: str
    ip: str
    later: bool


def services_of(group: ServiceGroup) -> tuple[str, ...]:
    """Return the services of a group: itself, or each of its copies."""
    if not group.copies:
        return (group.name,)
    return tuple(f"{group.name}~{number}" for number in range(1, group.copies + 1))


class SiteLayout(NamedTuple):
    """A site on loopback addresses; ``net`` is the second number of all of them."""

    site: Site
    net: int = 20 + os.getpid() % 200

    def address(self, block: int, number: int) -> str:
        """Return the address of an endpoint by the first block of its kind and its number."""
        more_blocks, rest = divmod(number, ADDRESSES_IN_BLOCK)
        return f"127.{self.net}.{block + more_blocks}.{rest + 1}"

    def nodes(self) -> tuple[SiteNode, ...]:
        """Return all machines, the spare ones last."""
        site = self.site
        used = [(group, False) for group in site.machines for _ in range(group.machines)]
        spares = [(group, True) for group in site.machines for _ in range(group.spares)]
        numbers = {group.zone: count(1) for group in site.machines}
        return tuple(
            SiteNode(
                number=number,
                name=f"front-{group.zone}-{next(numbers[group.zone])}",
                zone=group.zone,
                region=site.zones[group.zone],
                ip=self.address(NODE_BLOCK, number),
                memory_mb=group.memory_mb,
                descriptors=group.descriptors,
                cores=group.cores,
                cpu_share=group.cpu_share,
                link_mbps=group.link_mbps,
                spare=spare,
            )
            for number, (group, spare) in enumerate((*used, *spares))
        )

    def servers(self) -> tuple[SiteServer, ...]:
        """Return the places of all servers, also of those that start later."""
        places = [
            (service, group, zone)
            for group in self.site.services
            for service in services_of(group)
            for zone in group.zones
        ]
        return tuple(
            SiteServer(slot, service, group.name, zone, self.address(SERVER_BLOCK, slot), group.later)
            for slot, (service, group, zone) in enumerate(places)
        )

    def group(self, name: str) -> ServiceGroup:
        """Return a service group by its name."""
        return next(each for each in self.site.services if each.name == name)

    def seeds(self) -> tuple[str, ...]:
        """Return the control addresses of up to three machines, of different zones where there are such."""
        nodes = [node for node in self.nodes() if not node.spare]
        first_of_zone = {node.zone: node for node in reversed(nodes)}
        chosen = sorted(first_of_zone.values())[:MAX_SEEDS]
        others = [node for node in nodes if node not in chosen]
        return tuple(f"{node.ip}:{CONTROL_PORT}" for node in (*chosen, *others)[:MAX_SEEDS])

    def operator(self) -> Endpoint:
        """Return the address on which the store listens for the operator and the servers."""
        return self.store_host(), OPERATOR_PORT

    def store_host(self) -> str:
        """Return the address on which the store listens, at a port for each node."""
        return self.address(STORE_BLOCK, 0)

    def store_link(self, number: int) -> str:
        """Return the address at which a node finds the store."""
        return self.address(STORE_LINK_BLOCK, number)

    def front_link(self, number: int) -> str:
        """Return the address at which clients find a node."""
        return self.address(FRONT_LINK_BLOCK, number)

    def links(self) -> dict[str, tuple[Endpoint, Endpoint]]:
        """Return the listening and target address of each link, by name: ``front:N`` and ``store:N``."""
        found: dict[str, tuple[Endpoint, Endpoint]] = {}
        for node in self.nodes():
            front, store = self.front_link(node.number), self.store_link(node.number)
            found[f"front:{node.number}"] = ((front, FRONT_PORT), (node.ip, FRONT_PORT))
            found[f"store:{node.number}"] = (
                (store, STORE_PORT),
                (self.store_host(), STORE_PORT + node.number),
            )
        return found
