"""The first attempt of a call and, if it takes too long, a hedge."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hoisthook.node.answer import Answer
from hoisthook.node.call import Lost

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from hoisthook.node.attempt import Attempt
    from hoisthook.node.local_backend import RunResult

    StartHedge = Callable[[], tuple[Attempt, Coroutine[object, object, RunResult]] | None]


class HedgeRace:
    """Runs the first attempt in the caller's task and starts a hedge after a delay.

    The first answer wins; the other attempt is abandoned, which drops its
    connection and so cancels it at the backend server.

    Parameters
    ----------
    start_hedge : callable
        Returns the hedge, or None if the budget is spent or no other candidate is available.
    """

    def __init__(self, start_hedge: StartHedge) -> None:
        self._start_hedge = start_hedge
        self._first: Attempt | None = None
        self._second: Attempt | None = None
        self._task: asyncio.Task[RunResult] | None = None
        self._winner: Answer | None = None
        self._finished = False

    async def run(
        self, first_run: Coroutine[object, object, RunResult], first: Attempt, delay: float
    ) -> RunResult:
        """Return the first answer, or, if both attempts fail, a `Lost` before a refusal.

        Parameters
        ----------
        first_run : coroutine
            Runs the first attempt.
        first : Attempt
            The first attempt.
        delay : float
            Seconds before the hedge starts.
        """
        self._first = first
        timer = asyncio.get_running_loop().call_later(delay, self._start_second)
        try:
            result = await first_run
            return await self._choose_result(result)
        finally:
            self._finished = True
            timer.cancel()
            self._abandon_second()

    async def _choose_result(self, result: RunResult) -> RunResult:
        # The first attempt has finished; its connection may already carry another request.
        self._first = None
        if self._winner is not None:
            if isinstance(result, Answer):
                result.finish(fully_read=False)
            winner = self._winner
            self._winner = None
            return winner
        if isinstance(result, Answer) or self._task is None:
            return result
        second = await self._task
        if isinstance(second, Answer):
            self._winner = None
            return second
        return second if isinstance(second, Lost) else result

    def _start_second(self) -> None:
        if self._finished:
            return
        hedge = self._start_hedge()
        if hedge is None:
            return
        self._second, run = hedge
        self._task = asyncio.get_running_loop().create_task(run)
        self._task.add_done_callback(self._second_done)

    def _second_done(self, task: asyncio.Task[RunResult]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        result = task.result()
        if not isinstance(result, Answer):
            return
        if self._finished:
            result.finish(fully_read=False)
            return
        self._winner = result
        if self._first is not None:
            self._first.abandon()

    def _abandon_second(self) -> None:
        if self._winner is not None:
            self._winner.finish(fully_read=False)
            self._winner = None
        if self._task is not None and not self._task.done():
            self._task.cancel()
