"""A node that starts while servers of two versions are listed sends requests to the one that serves."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from node_process import Node, Server, Store, configuration

REQUESTS = 20


class Fleet:
    """A store, one server of each of two versions, and nodes with the contract of roll-outs."""

    def __init__(self, folder: Path) -> None:
        self.store = Store()
        self.serving, self.alongside = Server("i-serving"), Server("i-alongside")
        self.nodes: list[Node] = []
        self._folder = folder
        self.store.put("config", "main", configuration())

    def list_server(self, server: Server, version: str) -> None:
        """Write a server's entry as that of a new object."""
        self.store.items.pop(("servers", server.instance), None)
        self.store.put("servers", server.instance, server.entry() | {"configVersion": version})

    def start_node(self) -> Node:
        """Start a node and wait until it is ready; the nodes before are its seeds."""
        folder = self._folder / f"node-{len(self.nodes) + 1}"
        folder.mkdir()
        node = Node(folder, self.store, name=folder.name, seeds=tuple(self.nodes), contracts=["rollout"])
        self.nodes.append(node)
        return node.start().wait_until_ready()

    def close(self) -> None:
        """End the nodes and the stand-ins."""
        for node in self.nodes:
            node.kill()
        for standin in (self.store, self.serving, self.alongside):
            standin.close()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.close()


def served_by(node: Node, fleet: Fleet) -> dict[str, int]:
    """Send requests to a node; return how many each server got."""
    for number in range(REQUESTS):
        assert node.ask(request_id=f"r{number}").status == 200
    return {each.instance: len(each.requests) for each in (fleet.serving, fleet.alongside)}


# Guards against requests of a restarted node to a version that no operator has ordered: of two versions with
# as many servers it took the one with the lower name.
def test_node_that_starts_alone_sends_to_the_version_of_the_oldest_server(fleet: Fleet) -> None:
    fleet.list_server(fleet.serving, "b41c9e")
    fleet.list_server(fleet.alongside, "7f20d3")
    assert served_by(fleet.start_node(), fleet) == {"i-serving": REQUESTS, "i-alongside": 0}


# The same where the entries can't tell: that of the serving version lapsed, as in an outage of the store, and
# came back. The node that ran all the while knows.
def test_node_that_starts_asks_another_one_which_version_serves(fleet: Fleet) -> None:
    fleet.list_server(fleet.serving, "b41c9e")
    fleet.start_node()
    fleet.list_server(fleet.alongside, "7f20d3")
    fleet.list_server(fleet.serving, "b41c9e")
    assert served_by(fleet.start_node(), fleet) == {"i-serving": REQUESTS, "i-alongside": 0}
