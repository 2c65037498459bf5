"""Tests of a request's tries at silent and at full nodes, without a network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from hoisthook.identity import DataCentre
from hoisthook.identity import NodeId
from hoisthook.identity import ServiceName
from hoisthook.mesh.outcome import Outcome
from hoisthook.mesh.outcome import PendingOutcome
from hoisthook.mesh.peer import Peer
from hoisthook.mesh.peer import PeerView
from hoisthook.mesh.routed_dispatcher import RoutedDispatcher
from hoisthook.node.call import Refused
from hoisthook.node.loop_clock import LoopClock
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival
from tests.fakes import FakeClock
from tests.mesh.test_routed_progress import progress

if TYPE_CHECKING:
    from collections.abc import Collection

    from hoisthook.mesh.hop_header import Admission
    from hoisthook.mesh.routed_call import RoutedCall


class SilentNodes:
    """Two nodes that stay silent; the second only once ``second_may_return`` is set."""

    leaving = False

    def __init__(self) -> None:
        self.views = [
            PeerView(
                Peer(NodeId(name), f"127.0.0.1:{port}", ServiceName("shop"), DataCentre("one")),
                is_self=False,
                same_data_centre=True,
            )
            for port, name in enumerate(("first", "second"), start=1)
        ]
        self.pending_outcomes: list[asyncio.Task[Outcome]] = []
        self.second_tried = asyncio.Event()
        self.second_may_return = asyncio.Event()

    def to_probe(self, call: RoutedCall, now: float) -> PeerView | None:
        return None

    def direct(self, call: RoutedCall, excluded: Collection[NodeId], now: float) -> PeerView | None:
        return next((view for view in self.views if view.peer.node not in excluded), None)

    def queue(self, call: RoutedCall, excluded: Collection[NodeId], now: float) -> PeerView | None:
        return None

    def probe(self, view: PeerView) -> None:
        pass

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        if view is self.views[1]:
            self.second_tried.set()
            await self.second_may_return.wait()
        task = asyncio.ensure_future(self._never_return())
        self.pending_outcomes.append(task)
        return PendingOutcome(task)

    async def _never_return(self) -> Outcome:
        await asyncio.Event().wait()
        raise AssertionError


class FullNodes(SilentNodes):
    """Ten nodes whose repeat budget is spent."""

    def __init__(self) -> None:
        self.views = [
            PeerView(
                Peer(NodeId(f"n-{n}"), f"127.0.0.1:{n}", ServiceName("shop"), DataCentre("one")),
                is_self=False,
                same_data_centre=True,
            )
            for n in range(1, 11)
        ]

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        return Refused(ResultCode.RETRY_BUDGET_SPENT, 0.1)


async def test_refused_reruns_do_not_stop_the_tries_of_redirected_requests() -> None:
    """Each kind of repeat has its own budget: refusals of one kind do not affect another."""
    clock = FakeClock()
    nodes = FullNodes()
    dispatcher = RoutedDispatcher(nodes, nodes, clock)  # type: ignore[arg-type]

    async def tries(arrival: Arrival) -> int:
        call = progress(target=60.0).call
        call.received, call.deadline = clock.now(), clock.now() + 60.0
        call.arrival = arrival
        return (await dispatcher.dispatch(call)).tries

    tries_until_known = await tries(Arrival.RERUN)
    assert tries_until_known > 1
    assert await tries(Arrival.RERUN) == 1
    assert await tries(Arrival.REDIRECTED) == tries_until_known
    clock.advance(10.0)
    assert await tries(Arrival.RERUN) > 1


@pytest.mark.parametrize("is_silent_too", [False, True])
async def test_request_of_a_disconnected_caller_is_withdrawn_from_silent_nodes(
    is_silent_too: bool,
) -> None:
    """Guards against executions for disconnected callers, in both states of the second try."""
    nodes = SilentNodes()
    call = progress(max_attempts=3, target=60.0).call
    call.received = asyncio.get_running_loop().time()
    call.deadline = call.received + 60.0
    dispatcher = RoutedDispatcher(nodes, nodes, LoopClock())  # type: ignore[arg-type]
    running = asyncio.ensure_future(dispatcher.dispatch(call))
    await nodes.second_tried.wait()
    if is_silent_too:
        nodes.second_may_return.set()
        # The second try has returned, and its outcome is not recorded yet.
        while len(nodes.pending_outcomes) < 2:
            await asyncio.sleep(0)
    running.cancel()
    await asyncio.wait([running])
    await asyncio.wait(nodes.pending_outcomes, timeout=5.0)
    assert [task.cancelled() for task in nodes.pending_outcomes] == [True] * (1 + is_silent_too)
