"""A site's machines, servers, settings and configurations, without processes."""

import tomllib
from pathlib import Path

import pytest

from soak.kernel_bytes import held_bytes, socket_bytes
from soak.records import RECORD_BYTES, records_of
from soak.sheet import read_sheet
from soak.site_configuration import ConfigurationState, configuration, gathered_groups
from soak.site_layout import SiteLayout
from soak.site_servers import places
from soak.site_settings import changed_fields, settings_fields, toml_text
from yokesill.platform.documents import read_configuration
from yokesill.platform.settings import parse_settings
from yokesill.serving.settings import GatewaySettings

LAYOUT = SiteLayout(read_sheet(Path(__file__).with_name("small_site.toml")), net=77)
SPARE = 3


def parsed(number: int, first: bool = True) -> GatewaySettings:
    """Return what a node reads from its settings file."""
    settings = parse_settings(toml_text(settings_fields(LAYOUT, number, first, LAYOUT.seeds())))
    assert isinstance(settings, GatewaySettings), settings
    return settings


# Guards against: machines that share an address, lie in another zone or have another machine's limits.
def test_machines_are_numbered_with_the_spares_last() -> None:
    nodes = LAYOUT.nodes()
    zones = ["reading-room", "reading-room", "archive", "reading-room"]
    assert [node.zone for node in nodes] == zones
    assert [node.spare for node in nodes] == [False, False, False, True]
    assert [node.descriptors for node in nodes] == [2000, 2000, 1000, 2000]
    assert len({node.ip for node in nodes}) == len({node.name for node in nodes}) == len(nodes)
    assert all(node.ip.startswith("127.77.") for node in nodes)


# Guards against: shards that are no services of their own, and later cuts that run from the start.
def test_each_copy_of_a_group_is_a_service_with_servers_of_its_own() -> None:
    servers = LAYOUT.servers()
    first = [(each.service, each.zone) for each in servers[:3]]
    assert first == [
        ("catalogue~1", "reading-room"),
        ("catalogue~1", "archive"),
        ("catalogue~2", "reading-room"),
    ]
    assert [each.slot for each in servers] == list(range(6 + 4 + 2 + 1))
    assert {each.group for each in servers if each.later} == {"catalogue-new"}


# Guards against: two endpoints of a large site at one address.
def test_long_lists_of_endpoints_share_no_address() -> None:
    blocks = [LAYOUT.address(40, number) for number in range(700)]
    assert len(set(blocks)) == 700
    assert LAYOUT.address(40, 250) == "127.77.41.1"


# Guards against: seeds that a loss of one zone takes away together.
def test_seeds_are_control_addresses_of_machines_in_different_zones_first() -> None:
    ips = [seed.split(":")[0] for seed in LAYOUT.seeds()]
    zone_of = {node.ip: node.zone for node in LAYOUT.nodes()}
    assert [zone_of[ip] for ip in ips] == ["reading-room", "archive", "reading-room"]
    assert SPARE not in [node.number for node in LAYOUT.nodes() if node.ip in ips]


# Guards against: settings that a node refuses, or reads otherwise than the sheet means them.
@pytest.mark.parametrize("number", range(4))
def test_settings_of_every_machine_are_read_as_the_sheet_means_them(number: int) -> None:
    settings, node = parsed(number), LAYOUT.nodes()[number]
    assert (settings.zone, settings.callers.host) == (node.zone, node.ip)
    assert settings.memory_bytes == node.memory_mb * 1_000_000
    assert settings.descriptors == node.descriptors
    assert settings.configuration_bound_s == 2.5
    assert settings.stop_grace_s == 6.0
    assert settings.regions == LAYOUT.site.zones
    assert len(settings.seeds) == 3


# Guards against: nodes that found the system anew at each later start.
def test_only_the_first_start_of_the_system_is_a_bootstrap() -> None:
    assert settings_fields(LAYOUT, 0, True, ())["bootstrap"] is True
    assert settings_fields(LAYOUT, 0, False, ())["bootstrap"] is False
    assert settings_fields(LAYOUT, SPARE, True, ())["bootstrap"] is False


# Guards against: a change of a limit that lands beside the table in which nodes read it.
def test_changed_setting_stands_in_the_table_that_has_it() -> None:
    fields = settings_fields(LAYOUT, 0, True, ())
    changed = tomllib.loads(toml_text(changed_fields(fields, {"cpuShare": 0.9, "seedNodes": ["a:1"]})))
    assert (changed["limits"]["cpuShare"], changed["seedNodes"]) == (0.9, ["a:1"])
    assert fields["limits"]["cpuShare"] == 0.5


# Guards against: configurations that a node refuses.
@pytest.mark.parametrize("how", ["idle", "route", "skew", "timeout", "unknown"])
def test_changed_configurations_are_valid(how: str) -> None:
    state = ConfigurationState(idle_routes=3).changed("idle", 0).changed(how, 0)
    assert read_configuration(configuration(LAYOUT, state)).version == 2


# Guards against: changes that change nothing, or another thing than they are named for.
def test_changes_move_split_and_add_routes() -> None:
    def routes(state: ConfigurationState) -> dict[str, dict[str, object]]:
        return {each["name"]: each for each in configuration(LAYOUT, state)["routes"]}

    state = ConfigurationState(idle_routes=3)
    assert routes(state.changed("route", 0))["loan"]["service"] == "loans-copy"
    backends = routes(state.changed("skew", 0))["loan"]["backends"]
    assert backends == [{"service": "loans", "weight": 3}, {"service": "loans-copy", "weight": 1}]
    assert routes(state.changed("timeout", 0))["loan"]["timeoutMs"] == 3750
    assert len(routes(state.changed("idle", 40))) == len(routes(state)) + 40


# Guards against: an index that is cut anew without its new shards, or the wrong servers drained.
def test_next_cut_of_the_index_names_the_other_shards() -> None:
    spec = configuration(LAYOUT, ConfigurationState(version=2, cut=1))
    assert spec["routes"][0]["gather"] == ["catalogue-new~1", "catalogue-new~2"]
    assert gathered_groups(LAYOUT, 0) == {"catalogue"}
    assert gathered_groups(LAYOUT, 1) == {"catalogue-new"}


# Guards against: servers that work at another speed, or answer otherwise, than the sheet says.
def test_servers_have_the_properties_of_their_group() -> None:
    terms = [place.terms for place in places(LAYOUT).values()]
    shard, loans = terms[0], terms[-1]
    assert shard is not None
    assert loans is not None
    assert [each.speed for each in terms[:4] if each] == [0.8, 1.0, 1.3, 0.8]
    assert (shard.shard, shard.kinds["search"].mean_s, shard.max_connections) == (True, 0.005, 26)
    assert (loans.shard, loans.kinds["loan"].body_bytes, loans.tells_load) == (False, 2000, False)


# Guards against: shards whose answers have another size than the sheet's.
def test_shards_answers_have_the_asked_size() -> None:
    assert len(b"".join(records_of("s", "r", 320))) == 320
    assert len(records_of("s", "r")) == 8
    assert len(records_of("s", "r", RECORD_BYTES - 1)) == 8


# Guards against: bytes that wait in the kernel and count for nobody, and connections counted as bytes.
def test_unread_and_unsent_bytes_are_counted_by_socket() -> None:
    rows = [
        "   0: 0100007F:1F90 00000000:0000 0A 00000000:00000005 00:00000000 00000000     0        0 111 1",
        "   1: 0100007F:1F90 0100007F:C350 01 00000010:00000200 00:00000000 00000000     0        0 222 1",
        "   2: 0100007F:1F90 0100007F:C351 01 00000000:00000000 00:00000000 00000000     0        0 333 1",
    ]
    sockets = socket_bytes(rows)
    assert sockets == {"222": 0x210}
    assert held_bytes(["socket:[222]", "socket:[333]", "/dev/null", "pipe:[222]"], sockets) == 0x210
