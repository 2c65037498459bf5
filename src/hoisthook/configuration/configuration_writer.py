"""Writes operators' changes to the log and reports their outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err
from result import Ok
from result import Result

from hoisthook.configuration.change import problem_of
from hoisthook.configuration.configuration_follower import CHANGES_STREAM
from hoisthook.exceptions import AppendUnknownError
from hoisthook.exceptions import LogUnavailableError
from hoisthook.result_code import ResultCode

if TYPE_CHECKING:
    from hoisthook.configuration.change import ChangeRecord
    from hoisthook.configuration.configuration_follower import ConfigurationFollower
    from hoisthook.configuration.configuration_state import ConfigurationState
    from hoisthook.configuration.configuration_state import Outcome
    from hoisthook.port.platform_log import PlatformLog

READ_BACK_TIMEOUT_SECONDS = 5.0
# Attempts per change: the first, one after a kept-alive connection that the log had closed, and
# one more after a lost answer.
MAX_APPENDS = 3


class ChangeFailure(msgspec.Struct, frozen=True):
    """Reason why a change is not known to be in force.

    Attributes
    ----------
    code : ResultCode
        Result code of the failure.
    detail : str
        Details for the operator.
    winner : int
        The key's current revision if another change won; otherwise 0.
    """

    code: ResultCode
    detail: str
    winner: int = 0


class ConfigurationWriter:
    """Appends a change to the log and answers from the state that results from reading it back.

    A change is accepted only when its record was read back in the order of the log and took
    effect. After an append whose answer was lost, the record is looked up by its operation
    id; if the log answers and does not have it, it is appended again. That is safe should
    the first append arrive later, as a record that is in the log twice takes effect once.
    The outcome is reported as unknown only while the log is unavailable or appends keep
    failing.

    Parameters
    ----------
    state : ConfigurationState
        State derived from the log.
    follower : ConfigurationFollower
        Reads the log.
    log : PlatformLog
        Changes are appended to it.
    """

    def __init__(
        self, state: ConfigurationState, follower: ConfigurationFollower, log: PlatformLog
    ) -> None:
        self._state = state
        self._follower = follower
        self._log = log

    async def submit(self, record: ChangeRecord) -> Result[Outcome, ChangeFailure]:
        """Put a change in force, or return why it is not.

        Parameters
        ----------
        record : ChangeRecord
            The change with its base revision and operation id.

        Returns
        -------
        Result of Outcome or ChangeFailure
            The outcome's ``winner`` is the new revision.
        """
        problem = problem_of(record)
        if problem is not None:
            return Err(ChangeFailure(ResultCode.SPEC_INVALID, problem))
        known = self._state.outcome_by_operation.get(record.operation_id)
        if known is not None:
            return _result_of(record, known)
        return await self._append(record)

    async def _append(self, record: ChangeRecord) -> Result[Outcome, ChangeFailure]:
        payload = msgspec.json.encode(record)
        append_error = ""
        for _ in range(MAX_APPENDS):
            try:
                offset = await self._log.append(CHANGES_STREAM, payload)
            except LogUnavailableError as error:
                return _unavailable(error, append_error)
            except AppendUnknownError as error:
                append_error = error.detail
                if not await self._try_read_log():
                    break
                if record.operation_id in self._state.outcome_by_operation:
                    break
            else:
                return await self._read_back(record, offset)
        return self._outcome(record, append_error)

    async def _read_back(self, record: ChangeRecord, offset: int) -> Result[Outcome, ChangeFailure]:
        await self._try_read_log()
        if not await self._follower.wait_for(offset, READ_BACK_TIMEOUT_SECONDS):
            detail = f"record {offset} was appended but not read back in time"
            return Err(ChangeFailure(ResultCode.APPEND_UNKNOWN, detail))
        return self._outcome(record, "the record was read back but has no outcome")

    async def _try_read_log(self) -> bool:
        """Read the log; return whether it answered."""
        try:
            await self._follower.read_log()
        except LogUnavailableError:
            return False
        return True

    def _outcome(self, record: ChangeRecord, detail: str) -> Result[Outcome, ChangeFailure]:
        outcome = self._state.outcome_by_operation.get(record.operation_id)
        if outcome is None:
            return Err(ChangeFailure(ResultCode.APPEND_UNKNOWN, detail))
        return _result_of(record, outcome)


def _unavailable(error: LogUnavailableError, append_error: str) -> Result[Outcome, ChangeFailure]:
    """Return the failure for an unavailable log; unknown if an earlier append may yet arrive."""
    if append_error:
        return Err(ChangeFailure(ResultCode.APPEND_UNKNOWN, f"{append_error}; then {error.detail}"))
    return Err(ChangeFailure(ResultCode.LOG_UNAVAILABLE, error.detail))


def _result_of(record: ChangeRecord, outcome: Outcome) -> Result[Outcome, ChangeFailure]:
    if outcome.key != record.key:
        detail = f"operation id {record.operation_id!r} was already used for {outcome.key}"
        return Err(ChangeFailure(ResultCode.OPERATION_ID_REUSED, detail))
    if not outcome.applied:
        detail = f"{outcome.key} is at revision {outcome.winner}"
        return Err(ChangeFailure(ResultCode.REVISION_CONFLICT, detail, outcome.winner))
    return Ok(outcome)
