"""A first try and, if it is late, a second one beside it."""

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
    """Runs a try in the caller's task and starts a hedge only when the delay is over.

    The first answer wins; the other try is given up on, which drops its
    connection and so cancels it at the backend server.

    Parameters
    ----------
    start_hedge : callable
        Returns the second try, or None where the budget or the choice denies it.
    """

    def __init__(self, start_hedge: StartHedge) -> None:
        self._start_hedge = start_hedge
        self._first: Attempt | None = None
        self._second: Attempt | None = None
        self._task: asyncio.Task[RunResult] | None = None
        self._winner: Answer | None = None
        self._over = False

    async def run(
        self, first_run: Coroutine[object, object, RunResult], first: Attempt, delay: float
    ) -> RunResult:
        """Return the first answer, or the worse of two failures.

        Parameters
        ----------
        first_run : coroutine
            The first try.
        first : Attempt
            Its handle.
        delay : float
            Seconds before the second try.
        """
        self._first = first
        timer = asyncio.get_running_loop().call_later(delay, self._launch)
        try:
            result = await first_run
            return await self._settle(result)
        finally:
            self._over = True
            timer.cancel()
            self._give_up_second()

    async def _settle(self, result: RunResult) -> RunResult:
        # The first try is over; its connection may carry another request by now.
        self._first = None
        if self._winner is not None:
            if isinstance(result, Answer):
                result.finish(whole=False)
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

    def _launch(self) -> None:
        if self._over:
            return
        started = self._start_hedge()
        if started is None:
            return
        self._second, run = started
        self._task = asyncio.get_running_loop().create_task(run)
        self._task.add_done_callback(self._second_done)

    def _second_done(self, task: asyncio.Task[RunResult]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        result = task.result()
        if not isinstance(result, Answer):
            return
        if self._over:
            result.finish(whole=False)
            return
        self._winner = result
        if self._first is not None:
            self._first.abandon()

    def _give_up_second(self) -> None:
        if self._winner is not None:
            self._winner.finish(whole=False)
            self._winner = None
        if self._task is not None and not self._task.done():
            self._task.cancel()
