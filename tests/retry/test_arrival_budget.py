from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hoisthook.identity import NodeId
from hoisthook.retry.arrival import Arrival
from hoisthook.retry.arrival_budget import ArrivalBudget
from hoisthook.retry.arrival_budget import RetrySettings
from hoisthook.retry.arrival_budget import node_part

WINDOW = 2.0
NODES = [NodeId(f"node-{number}") for number in range(3)]
STEPS = ("request", "repeat", "rerun", "start")


def new_budget(extra: float, *, ratio: float = 0.0, part: float | None = None) -> ArrivalBudget:
    created = ArrivalBudget(RetrySettings(ratio, WINDOW, extra), 0.0)
    created.set_part(extra if part is None else part, 0.0)
    return created


def take_repeats(budget: ArrivalBudget, arrival: Arrival, now: float, attempts: int) -> int:
    granted = 0
    for _ in range(attempts):
        if budget.allows(arrival, now):
            budget.arrived(arrival, now)
            granted += 1
    return granted


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.sampled_from(STEPS), st.sampled_from(NODES)),
        max_size=200,
    ),
    st.floats(0.0, 1.0),
    st.floats(0.0, 40.0),
)
def test_no_window_of_all_nodes_holds_more_repeats_than_allowed_however_often_they_start(
    steps: list[tuple[float, str, NodeId]], ratio: float, extra: float
) -> None:
    settings = RetrySettings(ratio, WINDOW, extra)

    def start(node: NodeId, at: float) -> ArrivalBudget:
        created = ArrivalBudget(settings, at)
        created.set_part(node_part(extra, node, NODES), at)
        return created

    budget_by_node = {node: start(node, 0.0) for node in NODES}
    now = 0.0
    requests: list[float] = []
    repeats: list[float] = []
    for gap, step, node in steps:
        now += gap
        if step == "start":
            budget_by_node[node] = start(node, now)
        elif step == "request":
            budget_by_node[node].record_requests(1.0, now)
            requests.append(now)
        else:
            arrival = Arrival.RERUN if step == "rerun" else Arrival.REDIRECTED
            repeats += [now] * take_repeats(budget_by_node[node], arrival, now, 1)
    for start_at in repeats:
        repeats_in_window = sum(1 for at in repeats if start_at <= at < start_at + WINDOW)
        requests_in_window = sum(1 for at in requests if start_at <= at < start_at + WINDOW)
        assert repeats_in_window <= ratio * requests_in_window + extra + 1e-6


def test_start_begins_with_nothing_and_most_of_the_part_accrues_within_a_window() -> None:
    fresh = new_budget(40.0)
    assert take_repeats(fresh, Arrival.REDIRECTED, 0.0, 40) == 0
    assert take_repeats(fresh, Arrival.REDIRECTED, WINDOW, 40) == 10
    assert (
        sum(take_repeats(fresh, Arrival.REDIRECTED, WINDOW * (1 + k / 20), 1) for k in range(21))
        >= 20
    )


def test_repeat_is_allowed_after_the_announced_wait() -> None:
    spent = new_budget(40.0)
    opens_in = spent.opens_in(Arrival.REDIRECTED, 0.0)
    assert not spent.allows(Arrival.REDIRECTED, 0.9 * opens_in)
    assert spent.allows(Arrival.REDIRECTED, opens_in)


def test_first_arrivals_are_always_allowed() -> None:
    assert new_budget(0.0).allows(Arrival.FIRST, 0.0)


def test_requests_of_callers_add_tokens_for_repeats() -> None:
    budget = new_budget(40.0, ratio=0.5)
    budget.record_requests(8.0, 0.0)
    assert take_repeats(budget, Arrival.REDIRECTED, 0.0, 40) == 4


def test_reruns_leave_the_rest_to_rejected_requests() -> None:
    saved = new_budget(80.0)
    assert take_repeats(saved, Arrival.RERUN, 10.0, 80) == 4
    assert take_repeats(saved, Arrival.REDIRECTED, 10.0, 80) == 16
    assert take_repeats(saved, Arrival.RERUN, 12.0, 80) > 0


def test_redirects_may_use_up_the_tokens_of_reruns() -> None:
    saved = new_budget(80.0)
    assert take_repeats(saved, Arrival.REDIRECTED, 10.0, 80) == 20
    assert take_repeats(saved, Arrival.RERUN, 10.0, 80) == 0


def test_parts_too_small_to_spend_are_held_by_some_and_add_up_over_the_nodes() -> None:
    nodes = [NodeId(f"node-{number}") for number in range(1000)]
    parts = [node_part(301.0, node, nodes) for node in nodes]
    assert sum(parts) == 300.0
    budgets = [new_budget(301.0, part=part) for part in parts]
    granted = sum(
        take_repeats(budget, Arrival.REDIRECTED, k * WINDOW, 2)
        for budget in budgets
        for k in (1, 2)
    )
    assert granted == 300


def test_parts_are_equal_where_they_can_be_spent() -> None:
    assert [node_part(62.0, node, NODES) for node in NODES] == [62.0 / 3] * 3
