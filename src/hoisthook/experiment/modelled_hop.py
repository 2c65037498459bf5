"""The way from one modelled node to another."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.mesh.admitted_exchange import ADMISSION_SECONDS
from hoisthook.mesh.admitted_exchange import SILENT_RETRY_SECONDS
from hoisthook.mesh.outcome import PendingOutcome
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.experiment.modelled_node import ModelledNode
    from hoisthook.experiment.modelled_system import ModelledSystem
    from hoisthook.mesh.hop_header import Admission
    from hoisthook.mesh.outcome import Outcome
    from hoisthook.mesh.peer import PeerView
    from hoisthook.mesh.routed_call import RoutedCall
    from hoisthook.port.clock import Clock


# One way between instances.
HOP_SECONDS = 0.001
# Until a connection that nobody answers is given up.
CONNECT_SECONDS = 0.1


class ModelledHop:
    """Takes a request to a node and its answer back."""

    def __init__(self, node: ModelledNode, system: ModelledSystem, clock: Clock) -> None:
        self._node = node
        self._system = system
        self._clock = clock
        self._probes = BackgroundTasks()
        self.leaving = False

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        """Run the request there and learn from what comes back."""
        node = self._system.node_by_id[view.peer.node]
        if node.server.is_gone():
            return await self._connect_in_vain(view)
        if node.server.silent_until() > self._clock.now() and not view.is_self:
            return await self._wait_in_vain(view, call, admission, node)
        way = 0.0 if view.is_self else HOP_SECONDS
        view.sent()
        try:
            await asyncio.sleep(way)
            outcome = await node.run(call, admission)
            await asyncio.sleep(way)
        finally:
            view.ended()
        self._heard(view, call, node, outcome)
        return outcome

    def _heard(
        self, view: PeerView, call: RoutedCall, node: ModelledNode, outcome: Outcome
    ) -> None:
        now = self._clock.now()
        view.reported(node.load(), now)
        if node.repeats.is_over_budget_for(call):
            self._node.repeats.callee_over_budget(call)
        if isinstance(outcome, Refused) and outcome.code is ResultCode.UNREACHABLE:
            view.close_until(now + outcome.retry_after)
        elif isinstance(outcome, Refused) and outcome.code is ResultCode.RETRY_BUDGET_SPENT:
            view.no_repeats_until = now + outcome.retry_after

    def close(self) -> None:
        """Stop the probes that are under way."""
        self._probes.close()

    def probe(self, view: PeerView) -> None:
        """Find out beside the requests whether a suspected node takes connections again."""
        view.close_until(self._clock.now() + CONNECT_SECONDS)
        self._probes.start(self._probe(view))

    async def _probe(self, view: PeerView) -> None:
        if self._system.node_by_id[view.peer.node].server.is_gone():
            await self._connect_in_vain(view)
        else:
            view.connected()

    async def _wait_in_vain(
        self, view: PeerView, call: RoutedCall, admission: Admission, node: ModelledNode
    ) -> Refused | PendingOutcome:
        """Bear the silence of a node, which still sends on what is whole when it wakes."""
        held_back = call.held_back or view.may_be_unresponsive(self._clock.now())
        sent = dataclasses.replace(call)
        await asyncio.sleep(ADMISSION_SECONDS)
        view.silent(self._clock.now())
        view.unreachable(self._clock.now())
        if held_back:
            return Refused(ResultCode.NODE_SILENT, SILENT_RETRY_SECONDS)
        late = asyncio.ensure_future(self._run_late(view, sent, admission, node))
        # What is withdrawn may be on its way all the same.
        self._probes.start(_until_done(late))
        return PendingOutcome(asyncio.ensure_future(_shielded(late)))

    async def _run_late(
        self, view: PeerView, call: RoutedCall, admission: Admission, node: ModelledNode
    ) -> Outcome:
        await asyncio.sleep(node.server.silent_until() - self._clock.now())
        outcome = await node.run(call, admission)
        self._heard(view, call, node, outcome)
        return outcome

    async def _connect_in_vain(self, view: PeerView) -> Refused:
        await asyncio.sleep(CONNECT_SECONDS)
        self._system.results.unanswered += 1
        return Refused(ResultCode.UNREACHABLE, view.unreachable(self._clock.now()))


async def _until_done(work: asyncio.Future[Outcome]) -> None:
    await asyncio.wait((work,))


async def _shielded(work: asyncio.Future[Outcome]) -> Outcome:
    return await asyncio.shield(work)
