"""Tests of the state of a routed request over its tries, without a network."""

from __future__ import annotations

import asyncio

import pytest

from hoisthook.identity import NodeId
from hoisthook.identity import RequestId
from hoisthook.identity import RouteName
from hoisthook.identity import ServiceName
from hoisthook.mesh.outcome import CompleteAnswer
from hoisthook.mesh.outcome import Outcome
from hoisthook.mesh.outcome import PendingOutcome
from hoisthook.mesh.routed_call import RoutedCall
from hoisthook.mesh.routed_progress import RoutedProgress
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.result_code import ResultCode
from hoisthook.retry.arrival import Arrival

NOW = 0.1
FIRST = NodeId("first")
SECOND = NodeId("second")
ANSWER = CompleteAnswer(200, [], b"")
FAILURE = CompleteAnswer(500, [], b"")


def progress(*, max_attempts: int = 2, target: float = 1.0) -> RoutedProgress:
    return RoutedProgress(
        RoutedCall(
            request_id=RequestId("q"),
            route=RouteName("r"),
            service=ServiceName("shop"),
            caller_service=ServiceName("front"),
            method=b"GET",
            target=b"/x",
            headers=[],
            body=b"",
            received=0.0,
            deadline=2.0,
            target_latency=target,
            priority=1,
            repeatable=True,
            max_attempts=max_attempts,
        )
    )


async def late_outcome(outcome: Outcome) -> Outcome:
    return outcome


async def record_silent(state: RoutedProgress, node: NodeId, outcome: Outcome) -> None:
    """Record that a node is silent, with the outcome that it returns later."""
    task = asyncio.ensure_future(late_outcome(outcome))
    state.record(node, PendingOutcome(task), NOW)
    await asyncio.wait([task])


async def test_silent_and_failed_backend_servers_count_together() -> None:
    """Guards against a third execution of a request whose route allows two attempts."""
    state = progress()
    await record_silent(state, FIRST, ANSWER)
    assert not state.no_more_tries
    assert state.call.held_back
    state.record(SECOND, FAILURE, NOW)
    assert state.no_more_tries
    assert state.arrived == 2


async def test_failed_backend_server_leaves_the_last_try_held_back() -> None:
    state = progress()
    assert not state.call.held_back
    state.record(FIRST, FAILURE, NOW)
    assert state.call.held_back
    assert state.call.arrival is Arrival.RERUN


async def test_late_answer_is_forwarded() -> None:
    state = progress()
    await record_silent(state, FIRST, ANSWER)
    state.record(SECOND, Refused(ResultCode.SLOTS_FULL, 0.1), NOW)
    state.record_late(NOW)
    assert state.answer == ANSWER


async def test_late_refusal_leaves_the_request_as_if_it_had_not_been_sent() -> None:
    state = progress()
    await record_silent(state, FIRST, Refused(ResultCode.SLOTS_FULL, 0.1))
    assert state.call.arrival is Arrival.UNHEARD
    state.record_late(NOW)
    assert state.call.arrival is Arrival.FIRST
    assert not state.call.held_back
    assert state.arrived == 0
    refused = state.resolve(0.05)
    assert isinstance(refused, Refused)


async def test_pending_request_is_not_reported_as_refused() -> None:
    state = progress()
    await record_silent(state, FIRST, ANSWER)
    state.record(SECOND, Refused(ResultCode.SLOTS_FULL, 0.1), NOW)
    assert state.resolve(0.05) == Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=True)


async def test_lost_answer_of_a_silent_node_is_not_reported_as_refused() -> None:
    state = progress()
    await record_silent(state, FIRST, Lost(ResultCode.ANSWER_LOST, admitted=False))
    state.record_late(NOW)
    state.record(SECOND, Refused(ResultCode.SLOTS_FULL, 0.1), NOW)
    assert isinstance(state.resolve(0.05), Lost)
    assert state.arrived == 1


async def test_no_further_try_once_the_target_latency_is_over() -> None:
    state = progress(max_attempts=3, target=0.05)
    await record_silent(state, FIRST, ANSWER)
    assert state.no_more_tries


async def test_refusal_that_holds_for_all_nodes_ends_the_tries() -> None:
    state = progress()
    state.record(FIRST, Refused(ResultCode.WORK_ENDS_SERVERS, 1.0), NOW)
    assert state.is_refusal_final
    assert state.no_more_tries


@pytest.mark.parametrize(
    "final",
    [
        Refused(ResultCode.WORK_ENDS_SERVERS, 0.0),
        Refused(ResultCode.DEADLINE_PASSED, 0.0),
        Lost(ResultCode.DEADLINE_DURING_RUN),
    ],
)
async def test_late_refusal_does_not_undo_the_end_of_the_tries(final: Refused | Lost) -> None:
    """Guards against further tries of work that ends the servers that run it."""
    state = progress(max_attempts=3)
    await record_silent(state, FIRST, Refused(ResultCode.SLOTS_FULL, 0.1))
    state.record(SECOND, final, NOW)
    state.record_late(NOW)
    assert state.no_more_tries


async def test_late_refusal_leaves_the_limit_that_other_attempts_reach() -> None:
    state = progress(max_attempts=1)
    await record_silent(state, FIRST, Refused(ResultCode.SLOTS_FULL, 0.1))
    state.record(SECOND, FAILURE, NOW)
    state.record_late(NOW)
    assert state.no_more_tries


async def test_late_refusal_of_a_request_whose_target_has_passed_ends_the_tries_after_a_run() -> (
    None
):
    state = progress(max_attempts=3)
    await record_silent(state, FIRST, Refused(ResultCode.SLOTS_FULL, 0.1))
    state.record(SECOND, FAILURE, NOW)
    assert not state.no_more_tries
    state.record_late(1.5)
    assert state.no_more_tries
