"""A store that logs each call, so that the cost of calls can be analysed by kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoisthook.exceptions import StoreUnavailableError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from typing import TypeVar

    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import KeyedRecord
    from hoisthook.port.record_store import RecordPage
    from hoisthook.port.record_store import RecordStore

    Result = TypeVar("Result")


# An event lists at most this many unreadable records, with names truncated to the second limit.
MAX_LOGGED_RECORDS = 5
MAX_LOGGED_NAME = 80


class LoggedStore:
    """A `hoisthook.port.record_store.RecordStore` that delegates to another and logs the calls.

    Parameters
    ----------
    store : RecordStore
        Store that the calls go to.
    clock : Clock
        Monotonic clock.
    log : EventLog
        Receives an event for each call.
    """

    def __init__(self, store: RecordStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._log = log

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key."""
        page = await self._logged("newest", topic, self._store.newest(topic))
        self._log_unreadable(topic, page)
        return page

    async def changes(self, topic: str, offset: int, wait: float) -> RecordPage | None:
        """Return records from ``offset`` on, waiting up to ``wait`` seconds for the first."""
        page = await self._logged("changes", topic, self._store.changes(topic, offset, wait))
        if page is not None:
            self._log_unreadable(topic, page)
        return page

    async def put(self, topic: str, record: KeyedRecord, *, is_urgent: bool = False) -> int:
        """Write a record and return its offset."""
        pending = self._store.put(topic, record, is_urgent=is_urgent)
        return await self._logged("put", topic, pending)

    def _log_unreadable(self, topic: str, page: RecordPage) -> None:
        if page.unreadable:
            self._log.event(
                "records_unreadable",
                code=ResultCode.RECORD_UNREADABLE.number,
                topic=topic,
                count=len(page.unreadable),
                records=[name[:MAX_LOGGED_NAME] for name in page.unreadable[:MAX_LOGGED_RECORDS]],
            )

    async def _logged(self, call: str, topic: str, pending: Awaitable[Result]) -> Result:
        started = self._clock.now()
        reason = ""
        try:
            return await pending
        except StoreUnavailableError as error:
            reason = error.detail
            raise
        finally:
            took_ms = round((self._clock.now() - started) * 1000.0, 1)
            self._log.event("store_called", call=call, topic=topic, took_ms=took_ms, reason=reason)
