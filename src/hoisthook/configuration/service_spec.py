"""Configuration of one service."""

from __future__ import annotations

import msgspec

from hoisthook.identity import is_name

MAX_TIMEOUT_MS = 600_000
MAX_RETRY_PERCENT = 5.0
MAX_MEASURE_PER_SECOND = 10.0
MAX_OPERATIONS = 64
MAX_LIMIT = 100_000
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class OperationSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whether requests with a method and path prefix may be repeated."""

    method: str
    path_prefix: str
    repeatable: bool


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and budgets of one service.

    Attributes
    ----------
    name : str
        1 to 63 characters of ``a-z 0-9 -``.
    operations : tuple of OperationSpec
        The longest matching prefix decides; without a match GET, HEAD and
        OPTIONS are repeatable and other methods are not.
    timeout_ms : int
        Default and maximum timeout of a request, in milliseconds.
    concurrency_limit : int
        Requests in progress over all backend servers; 0 for no limit.
    concurrency_per_backend_server : int
        Requests in progress at one backend server; 0 for its slots.
    queue_per_backend_server : int
        Requests that may wait in the queue of one backend server; -1 for as many as its slots.
    retry_percent : float
        Limit of retries and hedges together, in percent of the calls; at most 5.
    hedge : bool
        Whether repeatable requests may be hedged.
    measure_per_second : float
        Maximum reads per second of the load endpoint of one backend server.
    """

    name: str
    operations: tuple[OperationSpec, ...] = ()
    timeout_ms: int = 5_000
    concurrency_limit: int = 0
    concurrency_per_backend_server: int = 0
    queue_per_backend_server: int = -1
    retry_percent: float = 4.0
    hedge: bool = True
    measure_per_second: float = 1.0

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a request may run more than once."""
        best: OperationSpec | None = None
        for operation in self.operations:
            if operation.method != method or not path.startswith(operation.path_prefix):
                continue
            if best is None or len(operation.path_prefix) > len(best.path_prefix):
                best = operation
        if best is not None:
            return best.repeatable
        return method in REPEATABLE_METHODS

    def problem(self) -> str | None:
        """Return the first validation error, or None."""
        if not is_name(self.name):
            return f"name: {self.name!r} is not 1 to 63 of a-z 0-9 -"
        if len(self.operations) > MAX_OPERATIONS:
            return f"operations: more than {MAX_OPERATIONS}"
        for operation in self.operations:
            if not operation.method.isalpha() or not operation.method.isupper():
                return f"operations.method: {operation.method!r} is not upper case"
            if not operation.path_prefix.startswith("/"):
                return f"operations.path_prefix: {operation.path_prefix!r} does not start with /"
        return self._number_problem()

    def _number_problem(self) -> str | None:
        if not 1 <= self.timeout_ms <= MAX_TIMEOUT_MS:
            return f"timeout_ms: not within 1 to {MAX_TIMEOUT_MS}"
        if not 0 <= self.concurrency_limit <= MAX_LIMIT:
            return f"concurrency_limit: not within 0 to {MAX_LIMIT}"
        if not 0 <= self.concurrency_per_backend_server <= MAX_LIMIT:
            return f"concurrency_per_backend_server: not within 0 to {MAX_LIMIT}"
        if not -1 <= self.queue_per_backend_server <= MAX_LIMIT:
            return f"queue_per_backend_server: not within -1 to {MAX_LIMIT}"
        if not 0 <= self.retry_percent <= MAX_RETRY_PERCENT:
            return f"retry_percent: not within 0 to {MAX_RETRY_PERCENT}"
        if not 0 <= self.measure_per_second <= MAX_MEASURE_PER_SECOND:
            return f"measure_per_second: not within 0 to {MAX_MEASURE_PER_SECOND}"
        return None
