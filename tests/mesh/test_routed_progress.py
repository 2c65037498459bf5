"""What the tries of a request have shown, and whether another one may be made."""

from __future__ import annotations

import asyncio

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


async def heard(outcome: Outcome) -> Outcome:
    return outcome


async def silent(of: RoutedProgress, node: NodeId, outcome: Outcome) -> None:
    """Take in that a node is silent; ``outcome`` is what it says at last."""
    task = asyncio.ensure_future(heard(outcome))
    of.take(node, PendingOutcome(task), NOW)
    await asyncio.wait([task])


async def test_silent_and_failed_backend_servers_count_together() -> None:
    """Guards against a third run where a route allows two."""
    made = progress()
    await silent(made, FIRST, ANSWER)
    assert not made.tries_end
    assert made.call.held_back
    made.take(SECOND, FAILURE, NOW)
    assert made.tries_end
    assert made.arrived == 2


async def test_failed_backend_server_leaves_the_last_try_held_back() -> None:
    made = progress()
    assert not made.call.held_back
    made.take(FIRST, FAILURE, NOW)
    assert made.call.held_back
    assert made.call.arrival is Arrival.RERUN


async def test_late_answer_is_the_one_to_hand_on() -> None:
    made = progress()
    await silent(made, FIRST, ANSWER)
    made.take(SECOND, Refused(ResultCode.SLOTS_FULL, 0.1), NOW)
    made.take_late(NOW)
    assert made.answer == ANSWER


async def test_late_refusal_leaves_the_request_as_if_it_had_not_been_sent() -> None:
    made = progress()
    await silent(made, FIRST, Refused(ResultCode.SLOTS_FULL, 0.1))
    assert made.call.arrival is Arrival.UNHEARD
    made.take_late(NOW)
    assert made.call.arrival is Arrival.FIRST
    assert not made.call.held_back
    assert made.arrived == 0
    refused = made.conclude(0.05)
    assert isinstance(refused, Refused)


async def test_what_was_not_heard_is_not_called_refused() -> None:
    made = progress()
    await silent(made, FIRST, ANSWER)
    made.take(SECOND, Refused(ResultCode.SLOTS_FULL, 0.1), NOW)
    assert made.conclude(0.05) == Lost(ResultCode.ANSWER_LOST, admitted=False, is_silent=True)


async def test_lost_word_of_a_silent_node_is_not_called_refused() -> None:
    made = progress()
    await silent(made, FIRST, Lost(ResultCode.ANSWER_LOST, admitted=False))
    made.take_late(NOW)
    made.take(SECOND, Refused(ResultCode.SLOTS_FULL, 0.1), NOW)
    assert isinstance(made.conclude(0.05), Lost)
    assert made.arrived == 1


async def test_no_further_try_once_the_target_latency_is_over() -> None:
    made = progress(max_attempts=3, target=0.05)
    await silent(made, FIRST, ANSWER)
    assert made.tries_end


async def test_refusal_that_holds_for_all_nodes_ends_the_request() -> None:
    made = progress()
    made.take(FIRST, Refused(ResultCode.WORK_ENDS_SERVERS, 1.0), NOW)
    assert made.is_refused
    assert made.tries_end
