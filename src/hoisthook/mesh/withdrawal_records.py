"""Records of withdrawn backend servers in the platform's store, which outlive the process."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from hoisthook.background_tasks import BackgroundTasks
from hoisthook.exceptions import StoreUnavailableError
from hoisthook.mesh.withdrawal import Withdrawal
from hoisthook.port.record_store import KeyedRecord
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from hoisthook.identity import InstanceId
    from hoisthook.identity import NodeId
    from hoisthook.mesh.observed_backend import ObservedBackend
    from hoisthook.port.clock import Clock
    from hoisthook.port.event_log import EventLog
    from hoisthook.port.record_store import RecordStore

# Prefix of the keys of these records, which share a topic with the nodes' registrations.
KEY_PREFIX = "withdrawn/"
# A backend server waits for an acknowledgement for one second.
ACKNOWLEDGE_SECONDS = 0.7
RETRY_SECONDS = 0.3
# Announcements arrive seconds late. A record of this age is removed once another incarnation is the
# current one.
RETENTION_SECONDS = 60.0


class WithdrawalRecord(msgspec.Struct, frozen=True):
    """A withdrawal as it is stored.

    Attributes
    ----------
    at : float
        Time of writing in Unix seconds.
    withdrawal : Withdrawal
        The withdrawal.
    """

    at: float
    withdrawal: Withdrawal


class _StoredWithdrawal(NamedTuple):
    """A stored withdrawal, and when this process wrote or read it on its clock."""

    withdrawal: Withdrawal
    since: float


class WithdrawalRecords:
    """Stores the withdrawals of the local backend server before they are acknowledged.

    An acknowledgement promises that the backend server receives no more requests. A process that
    takes over knows of the promise only from here: announcements may arrive late, and health checks
    may be wrong. Each incarnation has a record of its own, so that a write that the store executes
    late cannot overwrite a newer one.

    Parameters
    ----------
    topic : str
        Topic of the nodes' registrations.
    node : NodeId
        This node.
    store : RecordStore
        The platform's store.
    observed_backend : ObservedBackend
        Source of the withdrawals, and receiver of those of earlier processes.
    clock : Clock
        Monotonic.
    log : EventLog
        Receives events for what was read, delayed writes and records that cannot be decoded.
    wall : callable
        Returns the current time in Unix seconds.

    Attributes
    ----------
    is_read : bool
        Whether the withdrawals of earlier processes are known.
    """

    def __init__(
        self,
        topic: str,
        node: NodeId,
        store: RecordStore,
        observed_backend: ObservedBackend,
        clock: Clock,
        log: EventLog,
        *,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._topic = topic
        self._key_prefix = f"{KEY_PREFIX}{node}/"
        self._store = store
        self._observed_backend = observed_backend
        self._clock = clock
        self._log = log
        self._wall = wall
        self._started_at = clock.now()
        self._tasks = BackgroundTasks()
        self._stored_by_instance: dict[InstanceId, _StoredWithdrawal] = {}
        self._all_stored = asyncio.Event()
        self._is_writing = False
        self._on_read: list[Callable[[], None]] = []
        self.is_read = False
        observed_backend.withdrawals.on_added(self._write_missing)

    def on_read(self, listener: Callable[[], None]) -> None:
        """Register ``listener`` to be called when the earlier withdrawals become known."""
        self._on_read.append(listener)

    def close(self) -> None:
        """Cancel writes in progress."""
        self._tasks.close()

    async def persist(self) -> bool:
        """Wait until all withdrawals are stored; return False if that takes too long.

        Writing continues in the background, so that a repeated statement is acknowledged at once.
        """
        self._write_missing()
        try:
            async with asyncio.timeout(ACKNOWLEDGE_SECONDS):
                await self._all_stored.wait()
        except TimeoutError:
            self._log.event(
                "withdrawal_unacknowledged",
                code=ResultCode.STORE_UNAVAILABLE.number,
                instances=[withdrawal.instance for withdrawal in self._missing()],
            )
            return False
        return True

    def accepts(self, record: KeyedRecord) -> bool:
        """Return whether a record of the topic is a withdrawal, of this or another node."""
        return record.key.startswith(KEY_PREFIX)

    def read(self, records: Iterable[KeyedRecord]) -> None:
        """Apply the withdrawals that earlier processes of this node have stored.

        Parameters
        ----------
        records : iterable of KeyedRecord
            All withdrawals in the store.
        """
        if not self.is_read:
            self._apply_history(records, "store")

    def start_without_history(self) -> None:
        """Proceed without earlier withdrawals, in a common start of all nodes."""
        self._apply_history((), "common start")

    def rewrite(self) -> None:
        """Write records again that the store may have lost when it regressed to an older copy."""
        self._stored_by_instance.clear()
        self._write_missing()

    def _apply_history(self, records: Iterable[KeyedRecord], source: str) -> None:
        own = sorted(
            (r for r in records if r.key.startswith(self._key_prefix)), key=lambda r: r.offset
        )
        decoded = [record for record in map(self._decode, own) if record is not None]
        now = self._clock.now()
        for record in decoded:
            stored = _StoredWithdrawal(record.withdrawal, now)
            self._stored_by_instance[record.withdrawal.instance] = stored
            self._tasks.start(self._remove_when_replaced(record.withdrawal.instance))
        self._observed_backend.restore(record.withdrawal for record in decoded)
        self.is_read = True
        self._log.event(
            "backend_history",
            source=source,
            after=round(now - self._started_at, 3),
            withdrawn=[record.withdrawal.instance for record in decoded],
            ages=[round(self._wall() - record.at, 1) for record in decoded],
        )
        for listener in self._on_read:
            listener()

    def _decode(self, record: KeyedRecord) -> WithdrawalRecord | None:
        try:
            return msgspec.json.decode(record.value, type=WithdrawalRecord)
        except msgspec.DecodeError as error:
            self._log.event(
                "withdrawal_unreadable",
                code=ResultCode.RECORD_UNREADABLE.number,
                key=record.key,
                reason=str(error),
            )
            return None

    def _missing(self) -> list[Withdrawal]:
        stored = self._stored_by_instance
        return [
            withdrawal
            for withdrawal in self._observed_backend.withdrawals
            if withdrawal.instance not in stored
            or stored[withdrawal.instance].withdrawal != withdrawal
        ]

    def _write_missing(self) -> None:
        if not self._missing():
            self._all_stored.set()
            return
        self._all_stored.clear()
        if not self._is_writing:
            self._is_writing = True
            self._tasks.start(self._write_all())

    async def _write_all(self) -> None:
        try:
            while missing := self._missing():
                await self._write(missing[0])
        finally:
            self._is_writing = False
        self._all_stored.set()

    async def _write(self, withdrawal: Withdrawal) -> None:
        value = msgspec.json.encode(WithdrawalRecord(self._wall(), withdrawal))
        record = KeyedRecord(self._key(withdrawal.instance), value)
        try:
            await self._store.put(self._topic, record, is_urgent=True)
        except StoreUnavailableError as error:
            self._log.event("withdrawal_delayed", instance=withdrawal.instance, reason=error.detail)
            await asyncio.sleep(RETRY_SECONDS)
            return
        is_new = withdrawal.instance not in self._stored_by_instance
        self._stored_by_instance[withdrawal.instance] = _StoredWithdrawal(
            withdrawal, self._clock.now()
        )
        if is_new:
            self._tasks.start(self._remove_when_replaced(withdrawal.instance))

    async def _remove_when_replaced(self, instance: InstanceId) -> None:
        """Remove a record after its retention, once another incarnation is the current one."""
        while (stored := self._stored_by_instance.get(instance)) is not None:
            await asyncio.sleep(max(0.0, stored.since + RETENTION_SECONDS - self._clock.now()))
            if self._observed_backend.instance != instance and await self._remove(instance):
                return
            await asyncio.sleep(RETENTION_SECONDS)

    async def _remove(self, instance: InstanceId) -> bool:
        try:
            await self._store.put(self._topic, KeyedRecord(self._key(instance), b""))
        except StoreUnavailableError:
            return False
        self._stored_by_instance.pop(instance, None)
        self._observed_backend.withdrawals.remove(instance)
        return True

    def _key(self, instance: InstanceId) -> str:
        return f"{self._key_prefix}{instance}"
