from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.traffic.route import Route
from hoisthook.traffic.route import RoutePart
from hoisthook.traffic.route_part_selector import RoutePartSelector
from hoisthook.traffic.route_table import RouteTable


def route(name: str, host: str, prefix: str, weights: dict[str, float] | None = None) -> Route:
    parts = tuple(RoutePart(ServiceName(s), w) for s, w in (weights or {name: 1.0}).items())
    return Route(RouteName(name), host, prefix, parts, True, 1.0, 0.5, 1, 2)


TABLE = RouteTable(
    [
        route("root", "a.example", "/"),
        route("shop", "a.example", "/shop/"),
        route("deep", "a.example", "/shop/new/"),
        route("other", "b.example", "/shop/"),
    ]
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/", "root"),
        ("a.example", "/x", "root"),
        ("a.example", "/shop", "root"),
        ("a.example", "/shop/", "shop"),
        ("a.example", "/shop/new", "shop"),
        ("a.example", "/shop/new/1", "deep"),
        ("A.Example:8080", "/shop/new/1/2", "deep"),
        ("b.example", "/shop/1", "other"),
        ("b.example", "/", None),
        ("c.example", "/shop/", None),
        ("a.example", "", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host: str, path: str, name: str | None) -> None:
    found = TABLE.match(host, path)
    assert (found and found.name) == name


segments = st.lists(st.sampled_from(["a", "b", "c", ""]), max_size=5)


@given(st.lists(segments, max_size=6, unique_by=tuple), segments)
def test_match_agrees_with_trying_every_prefix(prefixes: list[list[str]], path: list[str]) -> None:
    prefix_paths = sorted({"/" + "".join(f"{s}/" for s in prefix) for prefix in prefixes})
    table = RouteTable(route(prefix_path, "h", prefix_path) for prefix_path in prefix_paths)
    requested = "/" + "/".join(path)
    best = max((p for p in prefix_paths if requested.startswith(p)), key=len, default=None)
    found = table.match("h", requested)
    assert (found and found.path_prefix) == best


@given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(1, 99), min_size=1),
    st.integers(1, 300),
)
def test_shares_stay_within_one_request_of_the_weights(weights: dict[str, int], count: int) -> None:
    split = route("r", "h", "/", {name: float(weight) for name, weight in weights.items()})
    selector = RoutePartSelector()
    chosen = [selector.choose(split) for _ in range(count)]
    total = sum(weights.values())
    for name, weight in weights.items():
        assert abs(chosen.count(ServiceName(name)) - count * weight / total) < len(weights)


def test_changed_weights_begin_anew() -> None:
    selector = RoutePartSelector()
    first = route("r", "h", "/", {"a": 1.0, "b": 1.0})
    second = route("r", "h", "/", {"a": 1.0, "c": 1.0})
    assert {selector.choose(first) for _ in range(2)} == {"a", "b"}
    assert {selector.choose(second) for _ in range(2)} == {"a", "c"}
