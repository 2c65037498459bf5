"""Open-loop load generator: calls are sent on schedule, whether or not earlier ones are answered.

Reads a `Plan` as JSON from standard input and writes a `Report` as JSON to
standard output. Latencies are measured from the time at which a call was due, so that
delays of the generator or of a server are included.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

import msgspec
from hdrh.histogram import HdrHistogram

from hoisthook.adapter.http.client_pool import ClientPool
from hoisthook.adapter.http.message import encode_request_head
from hoisthook.exceptions import BrokenExchangeError
from hoisthook.exceptions import UnreachableError

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
CONNECT_TIMEOUT_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 10.0


class Target(msgspec.Struct):
    """Destination of one kind of calls.

    Attributes
    ----------
    name : str
        Name of the kind in the report.
    addresses : list of (str, int)
        Host and port; each call goes to a random one.
    headers : dict of str to str
        Sent with each call.
    """

    name: str
    addresses: list[tuple[str, int]]
    headers: dict[str, str]


class Plan(msgspec.Struct):
    """A load to send, to the targets in turn.

    Attributes
    ----------
    targets : list of Target
        At least one.
    rate : float
        Mean of the Poisson arrivals, in calls per second over all targets.
    seconds, warm_up_seconds : float
        Duration of the load that is counted, and of that before it.
    seed : int
        Of the arrivals and of the choice of addresses.
    """

    targets: list[Target]
    rate: float
    seconds: float
    warm_up_seconds: float
    seed: int


class KindResults(msgspec.Struct):
    """Results of one kind of calls; the histogram is encoded, in microseconds."""

    sent: int = 0
    answered: int = 0
    count_by_result: dict[str, int] = msgspec.field(default_factory=dict)
    attempts: int = 0
    histogram: str = ""


class Report(msgspec.Struct):
    """Results by kind, and the encoded histogram of the delays of the generator itself."""

    kind_by_name: dict[str, KindResults]
    lag: str


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class Generator:
    """Sends the calls of a plan and collects their results."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._pool = ClientPool()
        self._kind_by_name = {target.name: KindResults() for target in plan.targets}
        self._histogram_by_name = {target.name: new_histogram() for target in plan.targets}
        self._lag = new_histogram()

    async def run(self) -> Report:
        """Send all calls, await their answers and return the report."""
        plan = self._plan
        started_at = time.monotonic()
        counted_from = started_at + plan.warm_up_seconds
        end = counted_from + plan.seconds
        due = started_at
        tasks: set[asyncio.Task[None]] = set()
        number = 0
        while (due := due + self._random.expovariate(plan.rate)) < end:
            await self._sleep_until(due)
            target = plan.targets[number % len(plan.targets)]
            number += 1
            task = asyncio.ensure_future(self._call(target, due, counted=due >= counted_from))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        for name, histogram in self._histogram_by_name.items():
            self._kind_by_name[name].histogram = histogram.encode().decode()
        return Report(self._kind_by_name, self._lag.encode().decode())

    async def _sleep_until(self, due: float) -> None:
        delay = due - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        self._lag.record_value(max(1, int((time.monotonic() - due) * 1e6)))

    async def _call(self, target: Target, due: float, *, counted: bool) -> None:
        address = target.addresses[self._random.randrange(len(target.addresses))]
        headers = [(n.encode(), v.encode()) for n, v in target.headers.items()]
        request = encode_request_head(b"GET", b"/balance/42", headers)
        result = "ok"
        attempts = 0
        status = 0
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                connection = await self._pool.acquire(address, CONNECT_TIMEOUT_SECONDS)
                try:
                    head = await connection.send(request)
                    while await connection.body.read():
                        pass
                finally:
                    self._pool.keep(address, connection)
            status = head.status
            result = (head.get(b"hoisthook-result") or b"0 OK").decode()
            attempts = int(head.get(b"hoisthook-attempts") or b"1")
        except (BrokenExchangeError, UnreachableError, TimeoutError) as error:
            result = type(error).__name__
        if counted:
            self._count(target.name, due, status, result, attempts)

    def _count(self, name: str, due: float, status: int, result: str, attempts: int) -> None:
        kind = self._kind_by_name[name]
        kind.sent += 1
        kind.attempts += attempts
        key = result if result != "0 OK" or status == 200 else f"status {status}"
        kind.count_by_result[key] = kind.count_by_result.get(key, 0) + 1
        if key == "0 OK":
            kind.answered += 1
            micros = int((time.monotonic() - due) * 1e6)
            self._histogram_by_name[name].record_value(max(1, micros))


def main() -> None:
    """Run the plan read from standard input and write the report."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    report = asyncio.run(Generator(plan).run())
    sys.stdout.buffer.write(msgspec.json.encode(report))


if __name__ == "__main__":
    main()
