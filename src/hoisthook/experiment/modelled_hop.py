"""Hops from one modelled node to another."""

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


# Network latency between two instances, one way.
HOP_SECONDS = 0.001
# Timeout of a connection that is not answered.
CONNECT_TIMEOUT_SECONDS = 0.1


class ModelledHop:
    """Forwards requests to nodes and returns their outcomes."""

    def __init__(self, node: ModelledNode, system: ModelledSystem, clock: Clock) -> None:
        self._node = node
        self._system = system
        self._clock = clock
        self._probes = BackgroundTasks()
        self.leaving = False

    async def run(
        self, view: PeerView, call: RoutedCall, admission: Admission
    ) -> Outcome | PendingOutcome:
        """Forward a request to the peer, record what its node reports and return the outcome."""
        node = self._system.node_by_id[view.peer.node]
        if node.server.is_gone():
            return await self._fail_to_connect(view)
        if node.server.silent_until() > self._clock.now() and not view.is_self:
            return await self._wait_for_silent_node(view, call, admission, node)
        latency = 0.0 if view.is_self else HOP_SECONDS
        view.sent()
        try:
            await asyncio.sleep(latency)
            outcome = await node.run(call, admission)
            await asyncio.sleep(latency)
        finally:
            view.ended()
        self._record_outcome(view, call, node, outcome)
        return outcome

    def _record_outcome(
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
        """Cancel the probes in progress."""
        self._probes.close()

    def probe(self, view: PeerView) -> None:
        """Check in the background whether a suspected node accepts connections again."""
        view.close_until(self._clock.now() + CONNECT_TIMEOUT_SECONDS)
        self._probes.start(self._probe(view))

    async def _probe(self, view: PeerView) -> None:
        if self._system.node_by_id[view.peer.node].server.is_gone():
            await self._fail_to_connect(view)
        else:
            view.connected()

    async def _wait_for_silent_node(
        self, view: PeerView, call: RoutedCall, admission: Admission, node: ModelledNode
    ) -> Refused | PendingOutcome:
        """Time out at a silent node, which executes complete requests once it responds again.

        A request that is held back until the node accepts it is refused. Any other request has
        been sent completely, so its outcome is pending.
        """
        held_back = call.held_back or view.may_be_unresponsive(self._clock.now())
        sent = dataclasses.replace(call)
        await asyncio.sleep(ADMISSION_SECONDS)
        view.silent(self._clock.now())
        view.unreachable(self._clock.now())
        if held_back:
            return Refused(ResultCode.NODE_SILENT, SILENT_RETRY_SECONDS)
        delayed_run = asyncio.ensure_future(self._run_delayed(view, sent, admission, node))
        # A withdrawn request may already be in transit, so it still reaches the node.
        self._probes.start(_until_done(delayed_run))
        return PendingOutcome(asyncio.ensure_future(_shielded(delayed_run)))

    async def _run_delayed(
        self, view: PeerView, call: RoutedCall, admission: Admission, node: ModelledNode
    ) -> Outcome:
        await asyncio.sleep(node.server.silent_until() - self._clock.now())
        outcome = await node.run(call, admission)
        self._record_outcome(view, call, node, outcome)
        return outcome

    async def _fail_to_connect(self, view: PeerView) -> Refused:
        await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
        self._system.results.unanswered += 1
        return Refused(ResultCode.UNREACHABLE, view.unreachable(self._clock.now()))


async def _until_done(run: asyncio.Future[Outcome]) -> None:
    await asyncio.wait((run,))


async def _shielded(run: asyncio.Future[Outcome]) -> Outcome:
    return await asyncio.shield(run)
