from __future__ import annotations

import asyncio

from hoisthook.adapter.http.body_stream import BodyStream
from hoisthook.adapter.http.message import AnswerHead
from hoisthook.node.answer import Answer
from hoisthook.node.attempt import Attempt
from hoisthook.node.call import Lost
from hoisthook.node.call import Refused
from hoisthook.node.hedge_race import HedgeRace
from hoisthook.result_code import ResultCode


class Source:
    def pause_body(self) -> None: ...

    def resume_body(self) -> None: ...


def answer() -> Answer:
    return Answer(AnswerHead(200, []), BodyStream(Source()), "b", lambda fully_read: None)


async def test_finished_first_attempt_is_not_abandoned_when_the_hedge_answers() -> None:
    abandoned: list[str] = []
    first = Attempt(1, may_wait=False)
    first.on_abandon(lambda: abandoned.append("first"))
    second_may_finish = asyncio.Event()
    second_started = asyncio.Event()
    second_answer = answer()

    async def run_first() -> Refused:
        await second_started.wait()
        return Refused(ResultCode.SLOTS_FULL, 0.1)

    async def run_second() -> Answer:
        second_started.set()
        await second_may_finish.wait()
        return second_answer

    race = HedgeRace(lambda: (Attempt(2, may_wait=True, hedge=True), run_second()))
    racing = asyncio.create_task(race.run(run_first(), first, 0.0))
    await second_started.wait()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    second_may_finish.set()
    assert await racing is second_answer
    assert abandoned == []


async def test_running_first_attempt_is_abandoned_when_the_hedge_answers() -> None:
    first_finished = asyncio.Event()
    first = Attempt(1, may_wait=False)
    first.on_abandon(first_finished.set)
    second_answer = answer()

    async def run_first() -> Lost:
        await first_finished.wait()
        return Lost(ResultCode.ANSWER_LOST)

    async def run_second() -> Answer:
        return second_answer

    race = HedgeRace(lambda: (Attempt(2, may_wait=True, hedge=True), run_second()))
    assert await race.run(run_first(), first, 0.0) is second_answer
    assert first.abandoned
