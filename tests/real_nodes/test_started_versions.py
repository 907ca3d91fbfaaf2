"""A node that starts while servers of two versions are listed sends requests to the one that serves."""

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from node_process import SERVICE, Node, Server, Store, configuration

REQUESTS = 20
SERVING, ALONGSIDE = "b41c9e", "7f20d3"
# What is known for certain is in the registry, or was asked for again, within this time.
SETTLED_S = 10.0


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

    def recorded(self) -> bool:
        """Return whether nodes have recorded anything of the serving version."""
        return any(
            SERVING in str(item["spec"])
            for (kind, _), item in list(self.store.items.items())
            if kind not in ("servers", "config", "rollouts")
        )

    def restart_all(self) -> None:
        """Kill all nodes and start them again, each with all as its seeds."""
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            node.wait_until_ready()

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
    before = {each.instance: len(each.requests) for each in (fleet.serving, fleet.alongside)}
    for number in range(REQUESTS):
        assert node.ask(request_id=f"r{number}").status == 200
    servers = (fleet.serving, fleet.alongside)
    return {each.instance: len(each.requests) - before[each.instance] for each in servers}


def wait_until(holds: Callable[[], bool]) -> bool:
    """Wait until something holds, for some seconds at most; return whether it does."""
    end_s = time.monotonic() + SETTLED_S
    while time.monotonic() < end_s and not holds():
        time.sleep(0.05)
    return holds()


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


# Guards against: nothing that outlasts the nodes told which version serves, so that a start of all of them
# went by the oldest entry. That of the serving version was replaced by another server's.
def test_nodes_that_all_start_again_send_to_the_version_that_served(fleet: Fleet) -> None:
    fleet.list_server(fleet.serving, SERVING)
    fleet.start_node()
    fleet.start_node()
    wait_until(fleet.recorded)
    fleet.list_server(fleet.alongside, ALONGSIDE)
    fleet.list_server(fleet.serving, SERVING)
    fleet.restart_all()
    for node in fleet.nodes:
        assert served_by(node, fleet) == {"i-serving": REQUESTS, "i-alongside": 0}


# The same where only the later version is listed at the start: the other's entries lapsed for a moment.
def test_version_that_is_listed_alone_at_a_start_does_not_replace_the_one_that_served(fleet: Fleet) -> None:
    fleet.list_server(fleet.serving, SERVING)
    node = fleet.start_node()
    wait_until(fleet.recorded)
    fleet.list_server(fleet.alongside, ALONGSIDE)
    fleet.store.remove("servers", fleet.serving.instance)
    node.kill()
    node.start()
    fleet.list_server(fleet.serving, SERVING)
    node.wait_until_ready()
    time.sleep(1.0)
    assert served_by(node, fleet) == {"i-serving": REQUESTS, "i-alongside": 0}


# Guards against: a version that was found bad got all requests once its order had been removed.
def test_version_rolled_back_gets_nothing_after_its_order_is_removed_and_nodes_restart(fleet: Fleet) -> None:
    fleet.list_server(fleet.alongside, ALONGSIDE)
    fleet.list_server(fleet.serving, SERVING)
    order = {"service": SERVICE, "targetVersion": ALONGSIDE, "durationS": 12}
    fleet.store.put("rollouts", SERVICE, order, {"state": "rolled_back", "targetVersion": ALONGSIDE})
    fleet.start_node()
    fleet.start_node()
    wait_until(fleet.recorded)
    fleet.store.remove("rollouts", SERVICE)
    time.sleep(1.0)
    fleet.nodes[0].kill()
    fleet.nodes[0].start().wait_until_ready()
    assert served_by(fleet.nodes[0], fleet) == {"i-serving": REQUESTS, "i-alongside": 0}
    fleet.restart_all()
    for node in fleet.nodes:
        assert served_by(node, fleet) == {"i-serving": REQUESTS, "i-alongside": 0}


# Guards against: a node that no other one could answer in time kept its guess until its next start.
def test_node_gives_up_its_guess_once_another_one_can_tell(fleet: Fleet) -> None:
    fleet.store.special = lambda request: (
        (lambda connection: connection.close()) if "yokesill-versions" in request.target else None
    )
    fleet.list_server(fleet.serving, SERVING)
    knowing = fleet.start_node()
    fleet.list_server(fleet.alongside, ALONGSIDE)
    fleet.list_server(fleet.serving, SERVING)
    knowing.send_signal(signal.SIGSTOP)
    starting = fleet.start_node()
    knowing.send_signal(signal.SIGCONT)

    def goes_to_the_serving_version() -> bool:
        return served_by(starting, fleet) == {"i-serving": REQUESTS, "i-alongside": 0}

    assert wait_until(goes_to_the_serving_version)
