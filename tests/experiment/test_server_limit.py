"""Servers that name a limit, in a service of which others have room."""

from __future__ import annotations

from hoisthook.experiment.load_pattern import Disruption
from hoisthook.experiment.load_pattern import DisruptionKind
from hoisthook.experiment.load_pattern import LoadPattern
from hoisthook.experiment.load_pattern import RouteTraits
from hoisthook.experiment.load_pattern import ServerTraits
from hoisthook.experiment.load_pattern import ServiceTraits
from hoisthook.experiment.modelled_system import ModelledSystem
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName

SHOP = ServiceName("shop")
LIMIT = 5.4
LIMITED_FROM, LIMITED_FOR = 5.0, 12.0
WINDOW_SECONDS = 4.0
STABLE_SECONDS = 3.0


def pattern(lookups_per_second: float) -> LoadPattern:
    """Return a pattern in which half of the servers name a limit."""
    return LoadPattern(
        name="limited",
        seconds=20.0,
        services=[ServiceTraits(SHOP, 4, ServerTraits(slots=6))],
        routes=[
            RouteTraits(RouteName("urgent"), SHOP, 10.0, 0.06, 0.3, 1.0, priority=0),
            RouteTraits(RouteName("lookup"), SHOP, lookups_per_second, 0.06, 0.3, 1.0, priority=2),
        ],
        troubles=[Disruption(DisruptionKind.LIMITED, LIMITED_FROM, LIMITED_FOR, LIMIT, 0.5, SHOP)],
    )


def most_arrivals(times: list[float]) -> int:
    """Return the arrivals in the fullest window while the limit is in force."""
    bound = [at for at in times if LIMITED_FROM + STABLE_SECONDS <= at < LIMITED_FROM + LIMITED_FOR]
    counts = (sum(1 for at in bound if start <= at < start + WINDOW_SECONDS) for start in bound)
    return max(counts, default=0)


def arrivals_of_limited(system: ModelledSystem) -> list[int]:
    """Return the arrivals in the fullest window at each server that names a limit."""
    nodes = list(system.node_by_id.values())
    return [most_arrivals(node.server.arrived_at) for node in nodes[: len(nodes) // 2]]


def test_servers_with_room_take_what_limited_ones_cannot() -> None:
    for seed in range(3):
        system = ModelledSystem(pattern(50.0), seed)
        results = system.play()
        assert max(arrivals_of_limited(system)) <= 1.5 * LIMIT * WINDOW_SECONDS + 5
        assert results.share > 0.9


def test_limit_is_used_where_no_other_server_has_room() -> None:
    for seed in range(3):
        system = ModelledSystem(pattern(200.0), seed)
        system.play()
        assert max(arrivals_of_limited(system)) <= 1.5 * LIMIT * WINDOW_SECONDS + 5
        assert min(arrivals_of_limited(system)) >= 0.8 * LIMIT * WINDOW_SECONDS
