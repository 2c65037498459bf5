"""Every fault at every step of a request, checked against what ran and what callers received."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from tests.node.harness import CallerResult
    from tests.node.harness import System

WIRES = ("caller", "hop", "backend")
STEPS = ("connect", "send", "send-half", "sent", "answer", "answer-half", "answer-end")
FAULTS = ("cut", "freeze", "delay", "crash beside", "crash holder", "cut, log out")


def inject_fault(
    system: System, wire: str, step: str, fault: str, *, for_identity: bool = False
) -> None:
    """Inject a fault on the given wire, for all backend servers since either may be chosen."""
    names = ["caller"] if wire == "caller" else [f"{name}-{wire}" for name in ("b1", "b2")]
    for name in names:
        injected = make_fault(system, name, fault)
        system.relay_by_name[name].inject(step, injected, for_identity=for_identity)


def make_fault(system: System, wire: str, fault: str) -> object:
    def crash(node: str) -> None:
        if node in system.node_by_name:
            system.crashes.append(asyncio.ensure_future(system.crash(node)))

    def log_out_and_cut() -> None:
        system.log.outage = True
        raise ConnectionError("cut")

    if fault == "crash beside":
        return lambda: crash("b1" if wire == "caller" else wire.split("-")[0])
    if fault == "crash holder":
        return lambda: crash("a")
    if fault == "cut, log out":
        return log_out_and_cut
    return fault


def clear_faults(system: System) -> None:
    for relay in system.relay_by_name.values():
        relay.inject("", "")


def check_result(system: System, name: str, got: CallerResult, max_runs: int) -> None:
    """Check the result of one call against what the backend servers ran."""
    runs = system.runs(name)
    assert runs <= max_runs
    if got.ran == "not-run":
        assert runs == 0
    if got.code == 0:
        assert got.status == 200
        assert got.body.startswith(name.encode() + b"|")
        assert got.body.endswith(b"." * 200)
        assert runs >= 1
    elif got.status is not None:
        assert got.code > 0
        assert got.ran in ("not-run", "unknown", "ran")


async def wait_until_idle(system: System) -> None:
    """Wait until no request is running, so that a late execution is counted."""
    if system.crashes:
        await asyncio.gather(*system.crashes)
    await system.until(lambda: all(b.active == 0 for b in system.backend_by_name.values()))
    await asyncio.sleep(0.02)


# A duplicate on the way to the backend server itself is not tested: TCP delivers none, and
# only the backend server, which receives the key, could drop one.
DUPLICATES = [(wire, "sent", "duplicate") for wire in ("caller", "hop")]
CELLS = [(wire, step, fault) for wire in WIRES for step in STEPS for fault in FAULTS]


@pytest.mark.parametrize(("wire", "step", "fault"), [*CELLS, *DUPLICATES])
async def test_non_repeatable_request_runs_at_most_once(
    system: System, wire: str, step: str, fault: str
) -> None:
    key = await system.issue_key("a")
    inject_fault(system, wire, step, fault)
    results = []
    first = await system.call(
        system.relay_by_name["caller"].address, "once", method=b"POST", key=key, body=b"5"
    )
    await wait_until_idle(system)
    check_result(system, "once", first, 1)
    clear_faults(system)
    results.append(first)
    for ingress in ("c", "a", "c"):
        if ingress not in system.node_by_name:
            continue
        address = system.node_by_name[ingress].callers_address
        again = await system.call(address, "once", method=b"POST", key=key, body=b"5")
        await wait_until_idle(system)
        check_result(system, "once", again, 1)
        results.append(again)
    bodies = {got.body for got in results if got.code == 0}
    assert len(bodies) <= 1
    if first.code == 0 and "a" in system.node_by_name:
        assert all(got.code == 0 for got in results[1:])


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("wire", WIRES)
async def test_repeatable_request_gets_its_own_complete_answer_or_none(
    system: System, wire: str, step: str, fault: str
) -> None:
    inject_fault(system, wire, step, fault)
    address = system.relay_by_name["caller"].address
    names = [f"get-{number}" for number in range(3)]
    got = await asyncio.gather(*(system.call(address, name) for name in names))
    await wait_until_idle(system)
    for name, each in zip(names, got, strict=True):
        check_result(system, name, each, 3)
    clear_faults(system)
    if "a" in system.node_by_name:
        after = await system.call(system.node_by_name["a"].callers_address, "after")
        check_result(system, "after", after, 2)


@pytest.mark.parametrize(
    ("step", "fault"),
    [*((step, fault) for step in STEPS for fault in FAULTS[:3]), ("sent", "duplicate")],
)
async def test_repeat_that_goes_through_the_holder_runs_at_most_once(
    system: System, step: str, fault: str
) -> None:
    key = await system.issue_key("a")
    system.relay_by_name["holder"].inject(step, fault)
    address = system.node_by_name["c"].callers_address
    for _ in range(3):
        got = await system.call(address, "once", method=b"POST", key=key, body=b"5")
        await wait_until_idle(system)
        check_result(system, "once", got, 1)
    assert got.code in (0, 3006, 3005)


IDENTITY_STEPS = STEPS[1:]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", IDENTITY_STEPS)
async def test_fault_while_a_node_states_its_identity_is_before_the_request(
    system: System, step: str, fault: str
) -> None:
    key = await system.issue_key("a")
    inject_fault(system, "hop", step, fault, for_identity=True)
    address = system.node_by_name["a"].callers_address
    got, safe = await asyncio.gather(
        system.call(address, "once", method=b"POST", key=key, body=b"5"),
        system.call(address, "safe"),
    )
    await wait_until_idle(system)
    check_result(system, "once", got, 1)
    check_result(system, "safe", safe, 2)
    clear_faults(system)
    if "a" in system.node_by_name:
        again = await system.call(address, "once", method=b"POST", key=key, body=b"5")
        check_result(system, "once", again, 1)


@pytest.mark.parametrize("fault", FAULTS[:3])
@pytest.mark.parametrize("step", IDENTITY_STEPS)
async def test_fault_while_the_holder_states_its_identity_runs_nothing_twice(
    system: System, step: str, fault: str
) -> None:
    key = await system.issue_key("a")
    system.relay_by_name["holder"].inject(step, fault, for_identity=True)
    address = system.node_by_name["c"].callers_address
    for _ in range(3):
        got = await system.call(address, "once", method=b"POST", key=key, body=b"5")
        await wait_until_idle(system)
        check_result(system, "once", got, 1)
    assert got.code == 0
